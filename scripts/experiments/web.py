"""JSON calls over HTTP."""
import http.client
import json
import urllib.error
import urllib.request


class CallFailed(Exception):
    """A call without a usable answer; `status` is 0 when there was no HTTP answer."""

    def __init__(self, text, status=0, body=None):
        super().__init__(text)
        self.status = status
        self.body = body


_opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def call(method, url, body=None, timeout_s=5.0, headers=None):
    """Returns the decoded JSON answer. Raises CallFailed."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method,
                                     headers={"Content-Type": "application/json", **(headers or {})})
    try:
        with _opener.open(request, timeout=timeout_s) as answer:
            text = answer.read().decode()
    except urllib.error.HTTPError as failure:
        text = failure.read().decode(errors="replace")
        try:
            decoded = json.loads(text)
        except ValueError:
            decoded = None
        raise CallFailed(f"{method} {url}: {failure.code} {text[:300]}", failure.code, decoded) from None
    except (OSError, http.client.HTTPException) as failure:
        raise CallFailed(f"{method} {url}: {failure}") from None
    return json.loads(text) if text else {}


def get(url, timeout_s=5.0):
    return call("GET", url, timeout_s=timeout_s)


def post(url, body, timeout_s=5.0, headers=None):
    return call("POST", url, body, timeout_s, headers)
