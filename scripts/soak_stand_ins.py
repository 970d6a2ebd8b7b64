"""Stand-ins and checks of scripts/soak. Callers, routers, hosts and the platform's store run in one process. Each
director is a real process, and reaches the store through its own loopback proxy."""
import asyncio
import base64
import json
import os
import random
import signal
import struct
import subprocess
import time
import zlib

HEADER = struct.Struct(">III B 3x H I I HH I")
SYN, ACK, FIN, RST = 32, 64, 2, 128
PACKET_PORT, READY_PORT, METRICS_PORT, STORE_PORT = 8172, 8167, 9402, 8169
PEER_PORT, NEWS_PORT, ADMIN_PORT = 7720, 7735, 8166
SERVICE_ADDRESS = "198.18.0.1"
WORKSHOP_PORT, ARCHIVE_PORT, TOGGLED_PORT = 8443, 443, 8500
SYN_RETRANSMIT_TIMES_S = (0.2, 0.6)  # retransmissions of a SYN, in seconds after the first one
OPEN_TIMEOUT_S = 1.4
# Checks that a fault can disturb are not applied while the fault is active, and for this long after its end.
FAULT_GRACE_S = 4.0
# Time limit of the routes, after which callers give a request up, and the longest work of a request.
TIME_LIMIT_S = 2.5
LONGEST_REQUEST_S = 1.5
# A drain or a configuration must be in force at most this long after the store has accepted it.
DRAIN_DEADLINE_S = CONFIG_DEADLINE_S = 3.0
# An evacuation must be in force at most this long after the store has accepted it, as a drain. Some hosts are in a
# failure domain of their own, which the operator evacuates.
EVACUATION_DEADLINE_S = DRAIN_DEADLINE_S
OWN_DOMAIN, EVACUATED_DOMAIN = "centro", "norte"
# A restore of the store from a backup: how long it is away before, and by when hosts and operator have written again.
RESTORE_AWAY_S, REWRITE_S = 0.8, 1.0
# The longest time after which the entry of a host that lives is back.
RELISTING_S = 2.0


def ip_number(text):
    return struct.unpack(">I", bytes(map(int, text.split("."))))[0]


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

    def intact(self):
        return self.sum == checksum(self.seq, self.ack, self.flags, self.dst, self.sport, self.dport, self.src,
                                    self.payload)


class FaultWindow:
    """Tracks whether a fault is active on an object, or was within the last FAULT_GRACE_S."""

    def __init__(self):
        self.active_faults = 0
        self.last_ended_at = -1e9

    def begin(self):
        self.active_faults += 1

    def end(self):
        self.active_faults -= 1
        self.last_ended_at = time.monotonic()

    def is_open(self):
        return self.active_faults > 0 or time.monotonic() - self.last_ended_at < FAULT_GRACE_S


class Store:
    """Stand-in of the platform's store with items, leases and watches. The soak switches its faults on and off:
    `mode` selects calls that get status 503, no answer or a reset, and with `muted` watches return no events.
    `restore` replaces the content by that of a backup, gives out later revisions again and raises the era."""

    def __init__(self):
        self.revision, self.items, self.history, self.leases = 1, {}, [], {}
        self.era, self.next_lease, self.is_away = 0, 70001, False
        self.changed = asyncio.Event()
        self.mode, self.delay_s, self.muted = "ok", 0.004, False
        self.fault_window = FaultWindow()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create-rev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                           "create-rev": created, "lease": lease}
        self.history.append(self.items[key])
        self.notify_watches()

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "rev": self.revision, "deleted": True})
            self.notify_watches()

    def write_others(self, count):
        """Takes `count` revisions for keys that no director reads."""
        self.revision += count

    def take_backup(self, without=None):
        """Returns the state, without the items whose keys begin with `without`."""
        items = {key: item for key, item in self.items.items() if without is None or not key.startswith(without)}
        return self.revision, items, list(self.history), dict(self.leases), self.next_lease

    def restore(self, backup):
        """Returns to the state of `backup`. Watches that are open end with status 410 or events of the new era."""
        self.revision, self.items, self.history, self.leases, self.next_lease = (
            part.copy() if isinstance(part, (dict, list)) else part for part in backup)
        self.era, self.is_away = self.era + 1, False
        self.notify_watches()

    def notify_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current-rev": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            items = [item for key, item in sorted(self.items.items())
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": items[:20], "has-more": len(items) > 20, "current-rev": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000)
        if path == "/v1/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = time.monotonic() + body["ttl-ms"] / 1000
            return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
        if path.startswith("/v1/kv-keep/"):
            known = int(path.rsplit("/", 1)[1]) in self.leases
            return (200, {"ttl-ms": 30000}) if known else (404, {})
        if path == "/v1/kv-txn":
            if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in body["precondition"]):
                return 412, {"items": []}
            for row in body["puts"]:
                self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
            return 200, {"rev": self.revision}
        return 404, {}

    async def watch(self, prefix, after, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            if after > self.revision:
                return 410, {}
            if self.history and after < self.history[0]["rev"] - 1 and len(self.history) < self.revision - after:
                return 410, {}
            events = [] if self.muted else [e for e in self.history if e["rev"] > after and e["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ")
                length = next((int(l.split(":")[1]) for l in head if l.lower().startswith("content-length")), 0)
                body = json.loads(await reader.readexactly(length)) if length else {}
                path, _, text = target.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&")) if text else {}
                await asyncio.sleep(self.delay_s)
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "reset":
                    return
                is_refused = self.mode == "busy" or self.is_away
                status, answer = (503, {}) if is_refused else await self.answer(method, path, query, body)
                data = json.dumps(answer).encode()
                era = b"Store-Era: %d\r\n" % self.era if self.era else b""
                writer.write(b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, era, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Proxy:
    """A TCP proxy between one director and the store. It can delay data, drop one direction and reset connections."""

    def __init__(self, store_address):
        self.store_address = store_address
        self.delay_s, self.silent_up, self.silent_down, self.writers = 0.0, False, False, set()

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(self.store_address, STORE_PORT)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, up_writer}
        try:
            await asyncio.gather(self.copy(reader, up_writer, True), self.copy(up_reader, writer, False))
        except asyncio.CancelledError:
            pass  # the soak is shutting down
        self.writers -= {writer, up_writer}

    async def copy(self, reader, writer, upwards):
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(self.delay_s)
                if not (self.silent_up if upwards else self.silent_down):
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


def odd_host_entry(**fields):
    return json.dumps({"service": "workshop", "address": "127.20.0.250:8080", "zone": "centro", "version": "v1",
                       "slots": 2, "state": "ready", "warmup-left-ms": 0, "sequence": 1, "born": 1} | fields).encode()


# Values that no host writes. An upstream with such an entry gets no new flows, and the other entries hold.
ODD_ENTRIES = [b"", b"\xff\xfe\x00", b"[" * 1_000_000, b'{"a":' * 200_000, odd_host_entry(slots=10 ** 18),
               odd_host_entry(slots=10 ** 40), odd_host_entry(sequence=-1), odd_host_entry(service="x" * 5000),
               odd_host_entry(zone="x" * 700_000), odd_host_entry(address="127.20.0.250:99999"),
               odd_host_entry(state="resting"), odd_host_entry().replace(b'"slots": 2', b'"slots": 1e999')]


class Host(asyncio.DatagramProtocol):
    """Stand-in of an upstream. It accepts flows, answers their requests and resets unknown flows."""

    def __init__(self, soak, number, service, zone=None):
        self.soak, self.number, self.service = soak, number, service
        self.address = soak.address_of("hosts", number)
        self.zone = zone or (EVACUATED_DOMAIN if number % 4 == 1 else OWN_DOMAIN)
        self.id = 0x11110000 + number
        self.flows, self.is_alive, self.is_listed, self.has_left = {}, False, False, False
        self.drained_at, self.fault_window = None, FaultWindow()
        self.sequence, self.busy_until = 0, 0.0  # the host answers nothing until then, because its slots are taken

    @property
    def key(self):
        return f"servers/i-{self.id:08x}"

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, 8080))
        self.listener = await asyncio.start_server(lambda r, w: w.close(), self.address, 8080)
        self.is_alive = True
        self.report("ready")

    def report(self, state):
        self.sequence += 1
        self.soak.store.put(self.key, json.dumps(
            {"service": self.service, "address": f"{self.address}:8080", "zone": self.zone, "version": "v1",
             "slots": 2, "state": state, "warmup-left-ms": 0, "sequence": self.sequence, "born": 1}).encode())
        self.is_listed = True

    def report_again(self):
        if self.is_listed and self.is_alive:
            self.report("ready" if self.drained_at is None else "draining")

    def report_after_restore(self, restored_at):
        """Writes the host's state again. A drain that was not due to be in force at the restore counts from now on."""
        if not self.is_listed:
            self.soak.store.delete(self.key)
        self.report_again()
        if self.drained_at is not None and restored_at - self.drained_at < DRAIN_DEADLINE_S:
            self.drained_at = time.monotonic()

    def stop(self, refuse):
        self.is_alive = False
        self.flows.clear()
        self.transport.close()
        if refuse:
            self.listener.close()

    def unlist(self):
        if self.is_listed:
            self.soak.store.delete(self.key)
            self.is_listed = False

    def datagram_received(self, data, source):
        if not self.is_alive or int.from_bytes(data[:8], "big") != self.id:
            return
        packet = Packet(data[8:])
        self.soak.check(packet.intact(), "UNASKED",
                        f"{self.address} received a packet whose checksum does not match its content")
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self.check_placement(packet, source[0])
            flow = self.flows.setdefault(key, {"next": packet.seq + 1, "seq": random.getrandbits(31), "last": b""})
            self.send(key, flow, packet.echo, flow["seq"], SYN | ACK)
            return
        flow = self.flows.get(key)
        if flow is None:
            if not packet.flags & RST:
                self.send(key, {"next": 0}, packet.echo, packet.ack, RST)
        elif packet.flags & RST:
            del self.flows[key]
        elif packet.payload:
            self.handle_request(key, flow, packet)

    def check_placement(self, packet, director):
        services = self.soak.services_of(packet.dport)
        self.soak.check(self.service in services, "ROUTE",
                        f"a flow to port {packet.dport} was opened at a host of {self.service}")
        late = self.drained_at is not None and time.monotonic() - self.drained_at > DRAIN_DEADLINE_S
        if late and self.soak.is_undisturbed(director):
            self.soak.check(False, "DRAIN", f"{director} opened a flow at {self.address} "
                            f"{time.monotonic() - self.drained_at:.1f} s after it began to drain")
        evacuated_for = self.soak.evacuated_for(self.zone)
        if evacuated_for > EVACUATION_DEADLINE_S and self.soak.is_undisturbed(director):
            self.soak.check(False, "EVAC", f"{director} opened a flow at {self.address} {evacuated_for:.1f} s after "
                            f"{self.zone} was evacuated")

    def handle_request(self, key, flow, packet):
        if packet.seq == flow["next"]:
            flow["next"] += len(packet.payload)
            flow["seq"] += max(1, len(flow["last"]))
            flow["last"] = b"done " + packet.payload
            self.soak.executions[packet.payload] = self.soak.executions.get(packet.payload, 0) + 1
            self.soak.check(self.soak.executions[packet.payload] == 1, "TWICE",
                            f"request {packet.payload} was executed more than once")
            work_s = max(random.uniform(0.005, 0.06), self.busy_until - time.monotonic())
            flow["done_at"] = time.monotonic() + work_s
            asyncio.get_running_loop().call_later(work_s, self.answer, key, flow, packet.echo)
        elif packet.seq < flow["next"] and time.monotonic() >= flow["done_at"]:
            self.answer(key, flow, packet.echo)

    def answer(self, key, flow, echo):
        if self.is_alive and self.flows.get(key) is flow:
            self.send(key, flow, echo, flow["seq"], ACK, flow["last"])

    def send(self, key, flow, echo, seq, flags, payload=b""):
        src, sport, dst, dport = key
        caller = ".".join(map(str, struct.pack(">I", src)))
        data = pack(seq, flow["next"], flags, echo, src, dport, sport, dst, payload)
        self.transport.sendto(data, (caller, PACKET_PORT))


class Caller(asyncio.DatagramProtocol):
    """Stand-in of a caller. It opens one flow after the other and sends requests on each, with pauses between them."""

    def __init__(self, soak, number):
        self.soak, self.address, self.port = soak, soak.address_of("callers", number), 1024
        self.packet_queue = asyncio.Queue()

    def datagram_received(self, data, source):
        self.packet_queue.put_nowait((Packet(data), source[0]))

    async def receive(self, deadline):
        while (left := deadline - time.monotonic()) > 0:
            try:
                packet, source = await asyncio.wait_for(self.packet_queue.get(), left)
            except asyncio.TimeoutError:
                return None, None
            if packet.dport == self.port:
                return packet, source
        return None, None

    def send(self, flow, flags, payload=b"", ack=None):
        data = pack(flow["seq"], flow["ack"] if ack is None else ack, flags, flow["echo"],
                    ip_number(SERVICE_ADDRESS), self.port, flow["dport"], ip_number(self.address), payload)
        director = self.soak.route(self.address, self.port)
        if director:
            self.transport.sendto(data, (director.address, PACKET_PORT))

    async def run(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, PACKET_PORT))
        while not self.soak.ended:
            self.port = self.port + 1 if self.port < 60000 else 1025
            dport = random.choice([WORKSHOP_PORT, WORKSHOP_PORT, ARCHIVE_PORT, TOGGLED_PORT])
            flow = await self.open(dport)
            for _ in range(random.choice([1, 5, 40])):
                if flow is None or self.soak.ended or not await self.request(flow):
                    break
                await asyncio.sleep(random.expovariate(4))
            await asyncio.sleep(0.02)

    async def open(self, dport):
        flow = {"dport": dport, "seq": random.getrandbits(31), "ack": 0, "echo": 0, "host": None}
        started, copies = time.monotonic(), 0
        self.send(flow, SYN, ack=0)
        while True:
            wait = SYN_RETRANSMIT_TIMES_S[copies] if copies < len(SYN_RETRANSMIT_TIMES_S) else OPEN_TIMEOUT_S
            packet, source = await self.receive(started + wait)
            if packet is None:
                if copies == len(SYN_RETRANSMIT_TIMES_S):
                    return self.opened(dport, started, False, None)
                copies += 1
                self.send(flow, SYN, ack=copies)
            elif packet.flags & RST:
                return self.opened(dport, started, False, source)
            elif packet.flags & SYN:
                flow.update(seq=flow["seq"] + 1, ack=packet.seq + 1, echo=packet.echo, host=source)
                self.send(flow, ACK)
                self.opened(dport, started, True, source)
                return flow

    def opened(self, dport, started, success, source):
        director = self.soak.route(self.address, self.port)
        expected = self.soak.expects_route(dport, started)
        if expected is not None and director and self.soak.is_undisturbed(director.address):
            refused = source is not None and not success
            self.soak.check(not (success and not expected), "CONFIG",
                            f"a flow to port {dport} was opened, expected a refusal: there is no route")
            self.soak.check(not (refused and expected and self.soak.has_ready_host(dport)), "CONFIG",
                            f"a flow to port {dport} was refused by {source}, although it has a route and a ready host")
        return None

    async def request(self, flow):
        payload = f"GET /{self.soak.next_request()} HTTP/1.1\r\nX-Request-Id: {self.soak.requests:08x}\r\n\r\n".encode()
        started, wait = time.monotonic(), 0.2
        self.soak.count_request(flow["dport"])
        self.send(flow, ACK, payload)
        while time.monotonic() < started + TIME_LIMIT_S:
            packet, source = await self.receive(time.monotonic() + wait)
            if packet is None:
                wait = min(2 * wait, 1.6)
                self.send(flow, ACK, payload)
            elif packet.flags & RST:
                self.check_reset(flow, source)
                return False
            elif packet.payload == b"done " + payload:
                flow.update(seq=flow["seq"] + len(payload), ack=packet.seq + len(packet.payload), echo=packet.echo)
                self.send(flow, ACK)
                self.soak.count_answer(flow["dport"])
                return True
            elif packet.flags & SYN:
                flow["echo"] = packet.echo if source != flow["host"] else flow["echo"]
        return False

    def check_reset(self, flow, source):
        host = self.soak.host_at(flow["host"])
        sender = self.soak.director_at(source)
        route = self.soak.expects_route(flow["dport"], time.monotonic())
        if sender and host and host.is_alive and not host.has_left and not host.fault_window.is_open() and route:
            self.soak.check(not self.soak.is_undisturbed(source), "FLOW",
                            f"{source} reset a flow of {host.address}, which is alive")


class Director:
    """A guavaramp-director process, with its settings, its proxy and its readiness as a router sees it."""

    def __init__(self, soak, number):
        self.soak, self.number, self.address = soak, number, soak.address_of("directors", number)
        self.is_ready, self.failed_checks, self.process = False, 0, None
        self.is_restarting = False
        self.proxy = Proxy(soak.address_of("store", 0))
        self.fault_window = FaultWindow()
        self.settings = os.path.join(soak.folder, f"director-{number}.json")
        with open(self.settings, "w") as file:
            json.dump({"vm": f"d{number}", "failure_domain": "centro", "packets": f"{self.address}:{PACKET_PORT}",
                       "status": f"{self.address}:{READY_PORT}", "metrics": f"{self.address}:{METRICS_PORT}",
                       "peers": f"{self.address}:{PEER_PORT}", "news": f"{self.address}:{NEWS_PORT}",
                       "admin": f"{self.address}:{ADMIN_PORT}",
                       "neighbours": [f"{soak.address_of('directors', other)}:{ADMIN_PORT}" for other in range(3)],
                       "store": f"{soak.address_of('proxies', number)}:{STORE_PORT}",
                       "evacuation_bound_ms": int(1000 * EVACUATION_DEADLINE_S)}, file)

    def start(self):
        if self.soak.ended:
            return
        log = open(os.path.join(self.soak.folder, f"director-{self.number}.log"), "ab")
        self.process = subprocess.Popen([self.soak.program, "--settings", self.settings], stdout=log, stderr=log)
        self.soak.processes.append(self.process)
        log.close()

    def peak_memory_mb(self):
        """Returns the peak of the resident memory of the current process; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                return next((int(line.split()[1]) // 1024 for line in file if line.startswith("VmHWM:")), 0)
        except OSError:
            return 0

    async def poll_readiness(self):
        while not self.soak.ended:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(self.address, READY_PORT), 0.4)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                ok = b" 200 " in await asyncio.wait_for(reader.readline(), 0.4)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                ok = False
            self.failed_checks = 0 if ok else self.failed_checks + 1
            self.is_ready = ok or (self.is_ready and self.failed_checks < 2)
            await asyncio.sleep(0.5)

    async def terminate(self, signal_number, pause_s):
        """Sends a signal that ends the process, and restarts it. If calls overlap, only the first one restarts it."""
        self.fault_window.begin()
        process = self.process
        process.send_signal(signal_number)
        first, self.is_restarting = not self.is_restarting, True
        while process.poll() is None or (not first and self.is_restarting):
            await asyncio.sleep(0.05)
        if first:
            await asyncio.sleep(pause_s)
            self.start()
            self.is_restarting = False
        self.fault_window.end()
