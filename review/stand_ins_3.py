"""Stand-ins and process control for the scripts of the third review. Store, hosts and callers run in one process and
speak the platform's protocol; each director is a real process, started with the command and the template of the deploy
file. All addresses are in 127.OCTET.0.0/16, where OCTET is drawn at the start."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEADER = struct.Struct(">III B 3x H I I HH I")
SYN, ACK, FIN, RST = 32, 64, 2, 128
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_PLAY_S = 112
# Of raochan-dn: check-ins of hosts, answers of the store, history and restart delay of the platform.
HEARTBEAT_S, STORE_ANSWER_S, HISTORY_S, RESTART_DELAY_S = 0.77, 0.004, 20, 0.2


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def checksum(seq, ack, flags, dst, sport, dport, src, payload):
    return zlib.crc32(struct.pack(">IIBIHHI", seq, ack, flags, dst, sport, dport, src) + payload)


def pack(seq, ack, flags, echo, dst, sport, dport, src, payload=b""):
    total = checksum(seq, ack, flags, dst, sport, dport, src, payload)
    return HEADER.pack(seq, ack, total, flags, len(payload), echo, dst, sport, dport, src) + payload


class Packet:
    def __init__(self, data):
        (self.seq, self.ack, self.sum, self.flags, self.length, self.echo, self.dst, self.sport, self.dport,
         self.src) = HEADER.unpack_from(data)
        self.payload = data[HEADER.size:]


class CouldNotRun(Exception):
    """The case could not be brought about; nothing is known about the rule."""


class Case:
    """The record, the addresses and the processes of one run of a script."""

    def __init__(self, folder):
        self.folder, self.started = folder, time.monotonic()
        self.with_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.temporary = tempfile.mkdtemp(prefix="guavaramp-review-")
        self.directors, self.violations = [], []
        self.octet = random.randrange(30, 250)
        self.ports = self.free_ports(8)
        (self.packet_port, self.ready_port, self.metrics_port, self.peer_port, self.news_port, self.admin_port,
         self.store_port, self.host_port) = self.ports
        self.log(f"trouble={int(self.with_trouble)} addresses=127.{self.octet}.0.0/16 ports={self.ports}")

    @staticmethod
    def free_ports(count):
        sockets = []
        for _ in range(count):
            opened = socket.socket()
            opened.bind(("127.0.0.1", 0))
            sockets.append(opened)
        ports = [opened.getsockname()[1] for opened in sockets]
        for opened in sockets:
            opened.close()
        return ports

    def address(self, kind, number):
        return f"127.{self.octet}.{ {'director': 1, 'host': 2, 'caller': 3, 'store': 4, 'service': 5}[kind]}.{number + 1}"

    def now(self):
        return time.monotonic() - self.started

    def log(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def broken(self, text):
        self.violations.append(text)
        self.log(f"BROKEN {text}")
        print(f"{self.now():.3f} broken: {text}", flush=True)

    def close(self):
        for director in self.directors:
            director.kill()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.close()


class Store:
    """Stand-in of the platform's store: items, leases, watches and answers of `stale_s` seconds ago where a call allows
    stale ones. Each director reaches it at an address of its own, which tells their calls apart."""

    def __init__(self, case):
        self.case, self.revision, self.items, self.history, self.leases = case, 100, {}, [], {}
        self.next_lease, self.changed, self.stale_s = 70001, asyncio.Event(), 0.2
        self.states = [(time.monotonic(), 100, {})]  # of the past, for stale answers
        self.waiting = []                            # watches: [director, prefix, since, connection]
        self.is_away = False                         # each call is answered with 503

    async def start(self, directors):
        for number in range(directors):
            await asyncio.start_server(lambda r, w, n=number: self.serve(n, r, w),
                                       self.case.address("store", number), self.case.store_port)

    def changed_now(self):
        self.states.append((time.monotonic(), self.revision, dict(self.items)))
        oldest = time.monotonic() - HISTORY_S
        self.states = [s for i, s in enumerate(self.states) if s[0] > oldest or i >= len(self.states) - 200]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create-rev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                           "create-rev": created, "lease": lease}
        self.history.append((time.monotonic(), self.items[key]))
        self.changed_now()

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append((time.monotonic(), {"key": key, "rev": self.revision, "deleted": True}))
            self.changed_now()

    def state_for(self, query):
        if query.get("allow-stale") != "1":
            return self.revision, self.items
        seen_at = time.monotonic() - self.stale_s
        older = [state for state in self.states if state[0] <= seen_at]
        return (older[-1] if older else self.states[0])[1:]

    async def answer(self, number, path, query, body, writer):
        if path == "/v1/kv-key":
            revision, items = self.state_for(query)
            item = items.get(query["key"])
            return (200, {**item, "current-rev": revision}) if item else (404, {})
        if path == "/v1/kv-range":
            revision, items = self.state_for(query)
            found = [item for key, item in sorted(items.items())
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": found[:500], "has-more": len(found) > 500, "current-rev": revision}
        if path == "/v1/kv-watch":
            return await self.watch(number, query, writer)
        if path == "/v1/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = time.monotonic() + body["ttl-ms"] / 1000
            return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            return (200, {"ttl-ms": 30000}) if lease in self.leases else (404, {})
        if path == "/v1/kv-txn":
            if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in body["precondition"]):
                return 412, {"items": [self.items[r["key"]] for r in body["precondition"] if r["key"] in self.items]}
            for row in body["puts"]:
                self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
            for key in body["deletes"]:
                self.delete(key)
            return 200, {"rev": self.revision}
        return 404, {}

    async def watch(self, number, query, writer):
        prefix, after, deadline = query["prefix"], int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        if after < 100:
            return 410, {}
        entry = [number, prefix, time.monotonic(), writer]
        self.waiting.append(entry)
        try:
            while True:
                events = [e for _, e in self.history if e["rev"] > after and e["key"].startswith(prefix)]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current-rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.waiting.remove(entry)

    def cut_watches(self, prefix, directors=None):
        """Cuts the watches of `prefix` that are waiting, of all directors or of those with the given numbers: closes their
        connections without an answer."""
        cut = [entry for entry in self.waiting if entry[1] == prefix and (directors is None or entry[0] in directors)]
        for number, _, since, writer in cut:
            self.case.log(f"store cuts the watch of {prefix} by director {number + 1}, "
                          f"which has waited {time.monotonic() - since:.3f} s")
            writer.close()
        return len(cut)

    async def go_away(self, seconds, lapsed):
        """Answers each call with 503 for a while; meanwhile the entries with the keys `lapsed` expire."""
        self.case.log(f"store is away for {seconds} s")
        self.is_away = True
        for *_, writer in list(self.waiting):
            writer.close()
        await asyncio.sleep(seconds)
        for key in lapsed:
            self.delete(key)
        self.is_away = False
        self.case.log(f"store is back, without {len(lapsed)} entries that have expired")

    async def serve(self, number, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ")
                length = next((int(l.split(":")[1]) for l in head if l.lower().startswith("content-length")), 0)
                body = json.loads(await reader.readexactly(length)) if length else {}
                path, _, text = target.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&")) if text else {}
                self.case.log(f"director {number + 1} calls {method} {target}")
                await asyncio.sleep(STORE_ANSWER_S)
                status, answer = await self.answer(number, path, query, body, writer) if not self.is_away else (503, {})
                data = json.dumps(answer).encode()
                if writer.is_closing():
                    return
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Host(asyncio.DatagramProtocol):
    """Stand-in of a host: registers, accepts flows, runs requests, and resets what it does not hold."""

    def __init__(self, case, store, number, service, zone):
        self.case, self.store, self.number, self.service, self.zone = case, store, number, service, zone
        self.address = case.address("host", number)
        self.id = 0x7F3A0000 + 16 * number + 3
        self.key, self.flows, self.sequence, self.phase = f"servers/i-{self.id:08x}", {}, 0, "ready"
        self.born, self.ran, self.opened = int(time.time() * 1000), [], []

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self,
                                                                local_addr=(self.address, self.case.host_port))
        self.listener = await asyncio.start_server(self.check_status, self.address, self.case.host_port)
        self.check_in()
        self.task = asyncio.create_task(self.check_in_regularly())

    async def check_status(self, reader, writer):
        try:
            if await reader.readline():
                writer.write(b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                             % self.key[8:].encode())
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def entry(self):
        return {"service": self.service, "address": f"{self.address}:{self.case.host_port}", "zone": self.zone,
                "version": "v1", "slots": 2, "state": self.phase, "warmup-left-ms": 0, "sequence": self.sequence,
                "born": self.born}

    def check_in(self):
        """Writes the host's entry. The store's entry changes only if more than its sequence does."""
        if self.store.is_away:
            return
        self.sequence += 1
        try:
            stored = json.loads(base64.b64decode(self.store.items[self.key]["value"]))
            unchanged = {**stored, "sequence": 0} == {**self.entry(), "sequence": 0}
        except (KeyError, ValueError, TypeError):
            unchanged = False
        if not unchanged:
            self.store.put(self.key, json.dumps(self.entry()).encode())
            self.case.log(f"host {self.key[8:]} of {self.service} checks in: {self.phase}")

    async def check_in_regularly(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.check_in()

    def datagram_received(self, data, source):
        if int.from_bytes(data[:8], "big") not in (0, self.id):
            return
        packet = Packet(data[8:])
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"next": packet.seq + 1, "seq": random.getrandbits(31) + 1, "open": False}
                self.opened.append((time.monotonic(), key, source[0]))
                self.case.log(f"host {self.key[8:]} of {self.service} takes the opening packet of "
                              f"{ip_text(key[0])}:{key[1]} from {source[0]}")
            self.send(key, flow["seq"], flow["next"], packet.echo, SYN | ACK)
        elif packet.flags & RST:
            self.flows.pop(key, None)
        elif flow is None or not flow["open"] and packet.ack != flow["seq"] + 1:
            self.case.log(f"host {self.key[8:]} resets {ip_text(key[0])}:{key[1]}, which it does not hold")
            self.send(key, packet.ack, 0, packet.echo, RST)
        else:
            self.receive(key, flow, packet)

    def receive(self, key, flow, packet):
        flow["open"] = True
        if packet.payload and packet.seq == flow["next"]:
            flow["next"] += len(packet.payload)
            flow["sent"] = flow["seq"] + 1
            request = re.search(rb"X-Request-Id: (\w+)", packet.payload)
            name = request.group(1).decode() if request else "?"
            self.ran.append(name)
            self.case.log(f"host {self.key[8:]} of {self.service} runs request {name}")
            flow["answer"] = (b"HTTP/1.1 200 OK\r\nX-Service: %s\r\nX-Host: %s\r\nX-Request-Id: %s\r\n"
                              b"Content-Length: 0\r\n\r\n" % (self.service.encode(), self.key[8:].encode(),
                                                              name.encode()))
            work_s = 0.015
            asyncio.get_running_loop().call_later(work_s, self.answer, key, flow, packet.echo)
            flow["done_at"] = time.monotonic() + work_s
        elif packet.payload and time.monotonic() >= flow.get("done_at", 0):
            self.answer(key, flow, packet.echo, again=True)
        elif packet.flags & FIN:
            self.send(key, flow["seq"] + 1, packet.seq + 1, packet.echo, ACK)

    def answer(self, key, flow, echo, again=False):
        if self.flows.get(key) is not flow:
            return
        if again:
            self.send(key, flow["seq"] + 1 - len(flow["answer"]), flow["next"], echo, ACK, flow["answer"])
            return
        self.send(key, flow["seq"] + 1, flow["next"], echo, ACK, flow["answer"])
        flow["seq"] += len(flow["answer"])

    def send(self, key, seq, ack, echo, flags, payload=b""):
        src, sport, dst, dport = key
        data = pack(seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, flags, echo, src, dport, sport, dst, payload)
        self.transport.sendto(data, (ip_text(src), self.case.packet_port))


class Caller(asyncio.DatagramProtocol):
    """Stand-in of a requester. A flow sends all its packets through the director that `route` returns."""

    def __init__(self, case, number):
        self.case, self.address, self.flows = case, case.address("caller", number), {}
        self.next_port = 20000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self,
                                                                local_addr=(self.address, self.case.packet_port))

    def datagram_received(self, data, source):
        packet = Packet(data)
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.queue.put_nowait((packet, source[0]))


class Flow:
    """A flow of a caller: opening, requests with retransmissions, and resets."""

    def __init__(self, caller, dport, route):
        self.caller, self.case, self.dport, self.route = caller, caller.case, dport, route
        self.port, caller.next_port = caller.next_port, caller.next_port + 1
        caller.flows[self.port] = self
        self.queue, self.seq, self.ack, self.echo = asyncio.Queue(), random.getrandbits(31), 0, 0
        self.dst, self.reset_by, self.is_open = ip_number(self.case.address("service", 0)), None, False

    @property
    def name(self):
        return f"{self.caller.address}:{self.port}"

    def send(self, flags, payload=b"", ack=None):
        data = pack(self.seq & 0xFFFFFFFF, (self.ack if ack is None else ack) & 0xFFFFFFFF, flags, self.echo, self.dst,
                    self.port, self.dport, ip_number(self.caller.address), payload)
        director = self.route(self)
        if director is not None:
            self.caller.transport.sendto(data, (director.address, self.case.packet_port))

    async def receive(self, deadline):
        left = deadline - time.monotonic()
        if left <= 0:
            return None, None
        try:
            return await asyncio.wait_for(self.queue.get(), left)
        except asyncio.TimeoutError:
            return None, None

    async def open(self):
        """Opens the flow as the protocol says: copies after 0.2 and 0.6 s, 1.4 s in all. Returns whether it opened."""
        started, copies, copy_times = time.monotonic(), 0, (0.2, 0.6)
        self.opened_at = started
        self.case.log(f"caller sends the opening packet of {self.name} to {self.route(self).address}")
        self.send(SYN, ack=0)
        while True:
            wait = copy_times[copies] if copies < 2 else 1.4
            packet, source = await self.receive(started + wait)
            if packet is None:
                if copies == 2:
                    self.case.log(f"{self.name} is not answered")
                    return False
                copies += 1
                self.send(SYN, ack=copies)
            elif packet.flags & RST:
                self.case.log(f"{self.name} is refused by a reset from {source}")
                self.reset_by = source
                return False
            elif packet.flags & SYN:
                self.seq, self.ack, self.echo, self.host = self.seq + 1, packet.seq + 1, packet.echo, source
                self.send(ACK)
                self.is_open = True
                return True

    async def request(self, time_limit_s):
        """Sends a request. Returns the answer's text, or None; `reset_by` names who reset the flow."""
        name = f"{random.getrandbits(32):08x}"
        payload = b"POST / HTTP/1.1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n" % name.encode()
        started, wait = time.monotonic(), 0.2
        self.case.log(f"caller sends request {name} on {self.name} to {self.route(self).address}")
        self.send(ACK, payload)
        while time.monotonic() < started + time_limit_s:
            packet, source = await self.receive(min(time.monotonic() + wait, started + time_limit_s))
            if packet is None:
                wait = min(2 * wait, 1.6)
                self.send(ACK, payload)
            elif packet.flags & RST:
                window = (packet.seq - self.ack + 76800) & 0xFFFFFFFF
                if window <= 2 * 76800:
                    self.reset_by = source
                    self.case.log(f"{self.name} with request {name} is reset by {source}")
                    return None
            elif packet.payload and packet.seq == self.ack & 0xFFFFFFFF:
                self.seq, self.ack, self.echo = self.seq + len(payload), self.ack + len(packet.payload), packet.echo
                self.send(ACK)
                self.case.log(f"request {name} is answered by {source}")
                return packet.payload.decode()
        self.case.log(f"request {name} on {self.name} has had no answer for {time_limit_s} s")
        return None

    def close(self):
        self.send(FIN | ACK)
        self.caller.flows.pop(self.port, None)


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a.b|json}} of a text of the deploy file."""
    def value_of(match):
        value = fields
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value_of, template)


class Director:
    """A director process, started as the deploy file says, and its readiness as the platform's routers see it."""

    def __init__(self, case, number, zone, count):
        self.case, self.number, self.address = case, number, case.address("director", number)
        self.is_ready, self.process = False, None
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["director"]
        seeds = [f"{case.address('director', other)}:{case.admin_port}" for other in range(min(3, count))]
        self.fields = {"node": f"front-{zone}-{number + 1}", "zone": zone, "ip": self.address, "seeds": seeds,
                       "listen": {"datagram-addr": f"{self.address}:{case.packet_port}",
                                  "ready": f"{self.address}:{case.ready_port}",
                                  "control": f"{self.address}:{case.admin_port}"},
                       "internal-ports": [case.peer_port, case.news_port],
                       "platform": {"address": f"{case.address('store', number)}:{case.store_port}"},
                       "bounds": {"drain-ms": 3000, "config-ms": 3000}}
        with open(os.path.join(ROOT, role["template"])) as file:
            text = render(file.read(), self.fields)
        # The ports of the deploy files are fixed; here free ones stand in their place.
        text = text.replace(f"{self.address}:9402", f"{self.address}:{case.metrics_port}")
        self.settings = os.path.join(case.temporary, f"director-{number}.json")
        with open(self.settings, "w") as file:
            file.write(text)
        self.command = [render(word, self.fields) for word in role["run"].split()]
        self.command[0] = os.path.join(ROOT, self.command[0])
        self.log_path = os.path.join(case.temporary, f"director-{number}.log")
        case.directors.append(self)

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                            env={"PATH": os.environ.get("PATH", ""), "GUAVARAMP_CONFIG": self.settings})
        self.started_at = time.monotonic()
        self.case.log(f"director {self.number + 1} starts at {self.address}")

    def signal(self, number):
        self.case.log(f"director {self.number + 1} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.case.log(f"director {self.number + 1} has ended with status {self.process.returncode}")

    async def ask_readiness(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.address, self.case.ready_port), 0.4)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            ready = b" 200 " in await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return ready
        except (OSError, asyncio.TimeoutError):
            return False

    def events(self):
        """Returns the lines of the director's log."""
        lines = []
        with open(self.log_path, errors="replace") as file:
            for line in file:
                try:
                    lines.append(json.loads(line))
                except ValueError:
                    pass
        return lines


async def wait_until_ready(directors, limit_s=10):
    deadline = time.monotonic() + limit_s
    while not all([await director.ask_readiness() for director in directors]):
        if time.monotonic() > deadline:
            raise CouldNotRun("the directors did not become ready")
        await asyncio.sleep(0.1)


def configuration(case, version, routes, time_limit_ms=2500):
    """Returns a configuration; `routes` maps a port to the service of its route."""
    return json.dumps({
        "version": version,
        "routes": [{"name": f"r-{port}", "host": case.address("service", 0), "prefix": f"/{port}/",
                    "kind": "non_idempotent", "timeout-ms": time_limit_ms, "target-latency-ms": 120, "priority": 1,
                    "service": service, "max-attempts": 2} for port, service in routes.items()],
        "services": [{"name": service, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False}
                     for service in sorted(set(routes.values()))],
        "limits": {"idle-timeout-ms": 15000}}).encode()


def run(folder, play):
    """Runs the coroutine function `play` with a case, and exits with 1 if the rule was broken, 0 if not, else 2."""
    case = Case(os.path.abspath(folder))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    status = COULD_NOT_RUN
    try:
        if not os.path.exists(os.path.join(ROOT, "target", "bin", "guavaramp-director")):
            raise CouldNotRun("target/bin/guavaramp-director is missing; run the build of the deploy file")
        loop = asyncio.new_event_loop()
        played = loop.create_task(play(case))
        loop.run_until_complete(asyncio.wait({played}, timeout=LONGEST_PLAY_S))
        if not played.done():
            raise CouldNotRun(f"the play has not ended after {LONGEST_PLAY_S} s")
        played.result()
        ended = [d for d in case.directors if d.process is not None and d.process.poll() is not None]
        for director in ended:
            case.broken(f"director {director.number + 1} has ended by itself: {director.process.returncode}")
        status = BROKEN if case.violations else HELD
        print("broken" if case.violations else "held")
    except Exception as failure:  # an error of the script says nothing about the rule
        status = COULD_NOT_RUN
        case.log(f"could not run: {failure!r}")
        print(f"could not run: {failure!r}", file=sys.stderr)
    finally:
        case.close()
        sys.stdout.flush()
        sys.stderr.flush()
        # Tasks of the stand-ins that still run end with the process.
        os._exit(status)
