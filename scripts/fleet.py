"""Starts and ends the programs of a fleet on loopback, for scripts/fleet and scripts/experiment.

Every program runs as a child of this process and is ended by its process id. Settings and logs live in a
temporary directory of the fleet.
"""
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOMAINS = ["hai-chau", "son-tra", "lien-chieu", "cam-le"]
OPERATOR_KEY = "operator-key"
FLEET_KEY = "fleet-key"
PLATFORM = "127.40.0.1:6090"
HTTP_PORT = 6083


class Fleet:
    """The programs of one run. `processes` maps a name ("platform", an address) to its process."""

    def __init__(self, bin_dir=None, log_level="info"):
        self.bin = pathlib.Path(bin_dir or ROOT / "build" / "bin")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="guavaramp-"))
        self.log_level = log_level
        self.processes = {}

    def run(self, name, arguments):
        """Starts a program; its output goes to NAME.log in the fleet's directory."""
        with open(self.directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log)
        return self.processes[name]


def call(endpoint, method, path, body=None, headers=None, timeout=5.0):
    """One HTTP call; returns status and the body, decoded when it is JSON."""
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        text = answer.read().decode()
    finally:
        connection.close()
    try:
        return answer.status, json.loads(text)
    except ValueError:
        return answer.status, text


def operator_headers():
    return {"X-Operator-Key": OPERATOR_KEY}


def entry_addresses(count, network=10):
    """Addresses 127.NETWORK.D.N, dealt over the failure domains. Runs at the same time on one machine need
    networks of their own."""
    return [f"127.{network}.{index % len(DOMAINS) + 1}.{index // len(DOMAINS) + 1}" for index in range(count)]


def domain_of(address):
    return DOMAINS[int(address.split(".")[2]) - 1]


def vm_of(address):
    return {"address": address, "failure_domain": domain_of(address), "region": "da-nang"}


def make_configuration(services):
    """A configuration from {name: {"address", "class", "hosts": [...]}}; hosts have name and address."""
    head = {"revision": 1, "next_service_id": 1, "next_upstream_id": 1, "services": {}}
    values = {}
    for name, wanted in services.items():
        service_id = head["next_service_id"]
        head["next_service_id"] += 1
        upstreams = []
        for host in wanted["hosts"]:
            upstreams.append({"id": head["next_upstream_id"], "name": host["name"],
                              "packet_address": f"{host['address']}:{host.get('packet_port', 6080)}",
                              "request_address": f"{host['address']}:{host.get('request_port', 8080)}",
                              "failure_domain": host.get("failure_domain", DOMAINS[0]),
                              "weight": host.get("weight", 100), "state": "active"})
            head["next_upstream_id"] += 1
        values[name] = {"id": service_id, "name": name, "address": wanted["address"],
                        "protocol": wanted.get("protocol", "tcp"), "class": wanted.get("class", "normal"),
                        "revision": 1, "change_id": "initial", "upstreams": upstreams}
        head["services"][name] = {"id": service_id, "revision": 1}
    return {"head": head, "services": values}


def standard_configuration():
    """Dispatch on 14 hosts, records on 4 (docs/design.md section 1.3)."""
    def hosts(first, count):
        return [{"name": f"h{first + n:02}", "address": f"127.20.0.{first + n}",
                 "failure_domain": DOMAINS[n % len(DOMAINS)]} for n in range(count)]
    return make_configuration({
        "dispatch": {"address": "10.9.0.1:443", "class": "urgent", "hosts": hosts(1, 14)},
        "records": {"address": "10.9.0.2:443", "class": "bulk", "hosts": hosts(15, 4)}})


def wait_until(holds, timeout, period=0.02):
    """Polls `holds` until it is true; returns the seconds that took, or None after `timeout`."""
    started = time.monotonic()
    while time.monotonic() - started < timeout:
        try:
            if holds():
                return time.monotonic() - started
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(period)
    return None


def start_platform(fleet, configuration, vms, seed=1, listen=PLATFORM):
    """Starts the platform stand-in with a configuration and a VM list."""
    config_file = fleet.directory / "config.json"
    vms_file = fleet.directory / "vms.json"
    config_file.write_text(json.dumps(configuration))
    vms_file.write_text(json.dumps(vms))
    fleet.run("platform", [fleet.bin / "guavaramp-standin-platform", "--listen", listen, "--config",
                           config_file, "--vms", vms_file, "--seed", str(seed)])
    if wait_until(lambda: call(listen, "GET", "/standin/calls")[0] == 200, 10) is None:
        raise RuntimeError("the platform stand-in did not start: " + log_of(fleet, "platform"))


def start_entries(fleet, addresses, settings=None, platform=PLATFORM, wait=True):
    """Starts entry daemons and, with `wait`, returns when each has a configuration."""
    for address in addresses:
        values = {"address": address, "failure_domain": domain_of(address), "region": "da-nang",
                  "egress": "127.30.0.1:6080", "platform": f"http://{platform}", "fleet_keys": [FLEET_KEY],
                  "operator_key": OPERATOR_KEY, "log_level": fleet.log_level, **(settings or {})}
        path = fleet.directory / f"{address}.json"
        path.write_text(json.dumps(values))
        fleet.run(address, [fleet.bin / "guavaramp-entry", "--settings", path])
    for address in addresses if wait else []:
        if wait_until(lambda: revision_of(address) > 0, 20) is None:
            raise RuntimeError(f"{address} has no configuration: " + log_of(fleet, address))


def revision_of(address, timeout=5.0):
    """The configuration revision that an entry daemon has in force."""
    counters = call(f"{address}:{HTTP_PORT}", "GET", "/v1/counters", timeout=timeout)[1]
    return counters.get("config_revision", 0)


def counters_of(address):
    return call(f"{address}:{HTTP_PORT}", "GET", "/v1/counters")[1]


def members_of(address):
    return call(f"{address}:{HTTP_PORT}", "GET", "/v1/members")[1]["members"]


def log_of(fleet, name):
    return (fleet.directory / f"{name}.log").read_text(errors="replace")[-2000:]


def stop(fleet, name, timeout=15.0, kill=False):
    """Ends one program by its process id: a planned stop, or a crash with `kill`."""
    process = fleet.processes.pop(name)
    if process.poll() is None:
        process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
    try:
        process.wait(timeout)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    return process.returncode


def stop_all(fleet, keep_logs=False):
    """Ends all programs of the fleet at once and removes its directory."""
    for process in fleet.processes.values():
        if process.poll() is None:
            process.kill()
    for process in fleet.processes.values():
        process.wait()
    fleet.processes.clear()
    if not keep_logs:
        shutil.rmtree(fleet.directory, ignore_errors=True)


def change_weight(platform, service, weight):
    """Writes a new revision with another weight of the service's first host, as an operator's change does.
    Returns the new revision."""
    head_entry = call(platform, "GET", "/v1/kv/guavaramp/head")[1]
    head = json.loads(head_entry["value"])
    revision = head["revision"] + 1
    old = head["services"][service]["revision"]
    value = json.loads(call(platform, "GET", f"/v1/kv/guavaramp/services/{service}/{old}")[1]["value"])
    value.update({"revision": revision, "change_id": f"change-{os.getpid()}-{revision}"})
    value["upstreams"][0]["weight"] = weight
    key = f"/v1/kv/guavaramp/services/{service}/{revision}"
    written = call(platform, "PUT", key, {"value": json.dumps(value), "if_revision": 0})
    assert written[0] == 200, written
    head["revision"] = revision
    head["services"][service]["revision"] = revision
    swapped = call(platform, "PUT", "/v1/kv/guavaramp/head",
                   {"value": json.dumps(head), "if_revision": head_entry["revision"]})
    assert swapped[0] == 200, swapped
    return revision
