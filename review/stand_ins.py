"""Stand-ins of the platform's store, routers, hosts and requesters, for the scripts in review/.

All run in one process on loopback addresses; each director is a real process. They follow PROTOCOL.md: every rule that
a stand-in relies on is quoted beside the code.
"""
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
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "bin", "guavaramp-director")
TEMPLATE = os.path.join(ROOT, "deploy", "director.json")

HEADER = struct.Struct(">III B 3s H I I HH I")
FIN, BOUNCED, SYN, ACK, RST = 2, 4, 32, 64, 128
MAX_DATA, MAX_IN_FLIGHT, MAX_HOST_RETRANSMISSIONS = 1200, 16, 8
MASK = 0xFFFFFFFF


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    """A packet of a flow. `sum` is a keyed sum over all fields except `echo`, `pad` and BOUNCED."""

    def __init__(self, seq, ack, flags, echo, src, sport, dst, dport, data=b"", total=None):
        self.seq, self.ack, self.flags, self.echo = seq & MASK, ack & MASK, flags, echo
        self.src, self.sport, self.dst, self.dport, self.data = src, sport, dst, dport, data
        self.total = self.expected_sum() if total is None else total

    def expected_sum(self):
        return zlib.crc32(struct.pack(">IIBIHHI", self.seq, self.ack, self.flags & ~BOUNCED, self.dst, self.sport,
                                      self.dport, self.src) + self.data, 0x51) or 1

    @staticmethod
    def decode(raw):
        seq, ack, total, flags, _, length, echo, dst, sport, dport, src = HEADER.unpack_from(raw)
        data = raw[HEADER.size:]
        return None if len(data) != length else Packet(seq, ack, flags, echo, src, sport, dst, dport, data, total)

    def encode(self):
        return HEADER.pack(self.seq, self.ack, self.total, self.flags, b"\0\0\0", len(self.data), self.echo, self.dst,
                           self.sport, self.dport, self.src) + self.data

    def is_intact(self):
        return self.total == self.expected_sum()


def after(left, right):
    return 0 < ((left - right) & MASK) < 0x80000000


class Record:
    """Writes record.txt: one line for what was sent, answered and run, and for each disruption."""

    def __init__(self, path):
        self.file, self.started, self.violations = open(path, "w"), time.monotonic(), []

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def violation(self, rule, text):
        self.violations.append((rule, text))
        self.line(f"BROKEN {rule}: {text}")
        print(f"broken {rule} at {self.now():.3f} s: {text}", flush=True)


class Store:
    """The platform's metadata store. `cached_lag_s`: how old the answers to reads with allow-stale=1 are."""

    def __init__(self, cached_lag_s=0.3):
        self.revision, self.items, self.history, self.leases, self.next_lease = 1, {}, [], {}, 1
        self.changed, self.cached_lag_s = asyncio.Event(), cached_lag_s
        self.on_call = lambda client, path, query: None

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create-rev"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                           "create-rev": created, "lease": lease}
        self.history.append((time.monotonic(), self.items[key]))
        self.wake()
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append((time.monotonic(), {"key": key, "rev": self.revision, "deleted": True}))
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def state(self, query):
        """Returns the items and the revision that a read shows."""
        if query.get("allow-stale") != "1":
            return self.items, self.revision
        items, revision, until = {}, 1, time.monotonic() - self.cached_lag_s
        for written_at, event in self.history:
            if written_at > until:
                break
            revision = event["rev"]
            if event.get("deleted"):
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items, revision

    async def answer(self, method, path, query, body):
        if path == "/v1/kv-key":
            items, revision = self.state(query)
            item = items.get(query["key"])
            return (200, {**item, "current-rev": revision}) if item else (404, {"error": "no such key"})
        if path == "/v1/kv-range":
            items, revision = self.state(query)
            found = [item for key, item in sorted(items.items())
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": found[:500], "has-more": len(found) > 500, "current-rev": revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = [time.monotonic() + body["ttl-ms"] / 1000, body["ttl-ms"] / 1000]
            return 200, {"lease": self.next_lease, "ttl-ms": body["ttl-ms"]}
        if path.startswith("/v1/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {"error": "no such lease"}
            lease[0] = time.monotonic() + lease[1]
            return 200, {"ttl-ms": int(lease[1] * 1000)}
        if path == "/v1/kv-txn":
            for row in body.get("precondition", []):
                if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                    return 412, {"items": [self.items[r["key"]] for r in body["precondition"] if r["key"] in self.items]}
            if any(row.get("lease") and row["lease"] not in self.leases for row in body.get("puts", [])):
                return 404, {"error": "no such lease"}
            if any(row["key"].startswith(("op/", "servers/")) for row in body.get("puts", [])):
                return 403, {"error": "not yours"}
            for row in body.get("puts", []):
                self.write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for key in body.get("deletes", []):
                self.delete(key)
            return 200, {"rev": self.revision}
        return 404, {"error": "no such call"}

    async def watch(self, prefix, revision, wait_s):
        deadline = time.monotonic() + wait_s
        while True:
            events = [event for _, event in self.history if event["rev"] > revision and event["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            for lease in [number for number, (until, _) in self.leases.items() if until < time.monotonic()]:
                del self.leases[lease]
                for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                    self.delete(key)

    async def serve(self, reader, writer):
        client = writer.get_extra_info("peername")
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ")
                length = next((int(l.split(":")[1]) for l in head if l.lower().startswith("content-length:")), 0)
                body = json.loads(await reader.readexactly(length)) if length else {}
                path, _, text = target.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&")) if text else {}
                query = {name: re.sub("%([0-9A-F]{2})", lambda m: chr(int(m[1], 16)), value)
                         for name, value in query.items()}
                self.on_call(client, path, query)
                await asyncio.sleep(0.004)  # the sheet: 4 ms an answer
                status, answer = await self.answer(method, path, query, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Partition:
    """A loopback proxy between one director and the store. While `cut`, nothing passes in either direction: a machine
    that is partitioned from the store gets no answer, and connections to it hang."""

    def __init__(self, store_endpoint):
        self.store_endpoint, self.cut = store_endpoint, False
        self.checked_at = -1e9  # time of the last cached read of the hosts' entries; only readers make them all the time

    async def serve(self, reader, writer):
        while self.cut:
            await asyncio.sleep(0.02)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.store_endpoint)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, up_writer), self.copy(up_reader, writer))

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if b"kv-range?prefix=servers/" in data and b"allow-stale=1" in data:
                    self.checked_at = time.monotonic()
                if self.cut:
                    while self.cut:
                        await asyncio.sleep(0.02)
                    break  # bytes held up by a partition are lost when their sender gives the connection up
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class End:
    """One end of a flow: reliable, ordered bytes. At most 16 packets in flight; every second packet is acknowledged
    (the last one after 20 ms); missing packets are sent again after 200 ms, doubled up to 1.6 s."""

    def __init__(self, transmit, on_bytes):
        self.transmit, self.on_bytes = transmit, on_bytes
        self.seq = random.getrandbits(32)  # next own sequence number
        self.peer_seq, self.echo, self.last_ack_received = 0, 0, self.seq
        self.queue, self.in_flight, self.out_of_order = b"", [], {}
        self.unacknowledged, self.retries, self.timer, self.ack_timer = 0, 0, None, None
        self.closed, self.max_retries, self.on_give_up = False, None, lambda: None

    def send(self, data):
        self.queue += data
        self.fill()

    def fill(self):
        while self.queue and len(self.in_flight) < MAX_IN_FLIGHT:
            part, self.queue = self.queue[:MAX_DATA], self.queue[MAX_DATA:]
            self.in_flight.append((self.seq, part))
            self.emit(self.seq, ACK, part)
            self.seq = (self.seq + len(part)) & MASK
        if self.in_flight and self.timer is None:
            self.start_timer()

    def start_timer(self):
        wait = min(0.2 * 2 ** self.retries, 1.6)
        self.timer = asyncio.get_running_loop().call_later(wait, self.retransmit)

    def retransmit(self):
        self.timer = None
        if self.closed or not self.in_flight:
            return
        if self.max_retries is not None and self.retries >= self.max_retries:
            self.on_give_up()
            return
        self.retries += 1
        seq, part = self.in_flight[0]
        self.emit(seq, ACK, part)
        self.start_timer()

    def emit(self, seq, flags, data=b""):
        self.unacknowledged = 0
        if self.ack_timer is not None:
            self.ack_timer.cancel()
            self.ack_timer = None
        if not self.closed:
            self.transmit(seq, self.peer_seq, flags, self.echo, data)

    def receive(self, packet):
        """Handles a packet of the flow that comes from the other end."""
        if after(packet.ack, self.last_ack_received):
            self.last_ack_received = packet.ack
            self.in_flight = [(seq, part) for seq, part in self.in_flight
                              if after((seq + len(part)) & MASK, packet.ack)]
            self.retries = 0
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            self.fill()
            if self.in_flight and self.timer is None:
                self.start_timer()
        if not packet.data:
            return
        if packet.seq != self.peer_seq:
            if after(packet.seq, self.peer_seq):
                self.out_of_order[packet.seq] = packet.data
            self.emit(self.seq, ACK)
            return
        received = b""
        data = packet.data
        while data is not None:
            received += data
            self.peer_seq = (self.peer_seq + len(data)) & MASK
            data = self.out_of_order.pop(self.peer_seq, None)
        self.unacknowledged += 1
        if self.unacknowledged >= 2:
            self.emit(self.seq, ACK)
        elif self.ack_timer is None:
            self.ack_timer = asyncio.get_running_loop().call_later(0.02, self.emit_late_ack)
        self.on_bytes(received)

    def emit_late_ack(self):
        self.ack_timer = None
        if self.unacknowledged:
            self.emit(self.seq, ACK)

    def close(self):
        self.closed = True
        for timer in (self.timer, self.ack_timer):
            if timer is not None:
                timer.cancel()


class HostFlow:
    def __init__(self, host, key, packet):
        self.host, self.key, self.opened, self.buffer = host, key, False, b""
        self.end = End(self.transmit, self.on_bytes)
        self.end.max_retries = MAX_HOST_RETRANSMISSIONS
        self.end.on_give_up = lambda: host.forget(key)
        self.end.peer_seq, self.end.echo = (packet.seq + 1) & MASK, packet.echo
        self.syn_seq, self.syn_retries = self.end.seq, 0
        self.end.seq = (self.end.seq + 1) & MASK
        self.end.last_ack_received = self.syn_seq
        self.syn_timer = None
        self.send_syn_ack()

    def send_syn_ack(self):
        """Missing packets are retransmitted after 200 ms, and the interval doubles up to 1.6 s; a host gives up after 8
        such retransmissions. The SYN+ACK is missing until the requester acknowledges its `seq`."""
        self.transmit(self.syn_seq, self.end.peer_seq, SYN | ACK, self.end.echo, b"")
        if self.syn_retries >= MAX_HOST_RETRANSMISSIONS:
            self.host.forget(self.key)
            return
        wait = min(0.2 * 2 ** self.syn_retries, 1.6)
        self.syn_retries += 1
        self.syn_timer = asyncio.get_running_loop().call_later(wait, self.resend_syn_ack)

    def resend_syn_ack(self):
        if not self.opened and self.host.flows.get(self.key) is self:
            self.send_syn_ack()

    def transmit(self, seq, ack, flags, echo, data):
        self.host.send(self.key, seq, ack, flags, echo, data)

    def stop(self):
        self.end.close()
        if self.syn_timer is not None:
            self.syn_timer.cancel()

    def on_bytes(self, data):
        self.buffer += data
        while True:
            head, separator, rest = self.buffer.partition(b"\r\n\r\n")
            if not separator:
                return
            length = int(re.search(rb"Content-Length: (\d+)", head)[1])
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.host.take_request(self, head, rest[:length])


class Host(asyncio.DatagramProtocol):
    """A host: registers itself in the store, accepts flows, processes `slots` requests concurrently, queues more."""

    def __init__(self, world, number, service, zone="z1", slots=2, queue=8, slowness=1.0):
        self.world, self.number, self.service, self.zone = world, number, service, zone
        self.slots, self.queue_limit, self.slowness = slots, queue, slowness
        self.address = world.address(20, number)
        self.port = world.host_port
        self.id = 0x7A000000 + number * 7919
        self.key = f"servers/i-{self.id:08x}"
        self.flows, self.working, self.waiting, self.sequence = {}, 0, [], 0
        self.alive, self.drained_at, self.state, self.warm_at = False, None, "ready", 0.0
        self.lose = lambda packet, count: False  # decides whether a datagram of this host is lost on its way
        self.sent = 0

    @property
    def name(self):
        return f"host {self.number} ({self.address})"

    async def start(self, cold_s=0.0):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.address, self.port))
        self.listener = await asyncio.start_server(self.serve_health, self.address, self.port)
        self.alive, self.born, self.warm_at = True, int(time.time() * 1000), time.monotonic() + cold_s
        self.report("ready")

    def report(self, state):
        self.sequence += 1
        self.state = state
        revision = self.world.store.write(self.key, json.dumps(
            {"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone, "version": "v1",
             "slots": self.slots, "state": state, "born": self.born, "sequence": self.sequence,
             "warmup-left-ms": max(0, int((self.warm_at - time.monotonic()) * 1000))}).encode())
        if state == "draining":
            self.drained_at = time.monotonic()
        self.world.record.line(f"{self.name} reports {state}; the store confirms it at revision {revision}")

    async def serve_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = b"200 OK" if self.state == "ready" else b"503 Leaving"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def forget(self, key):
        flow = self.flows.pop(key, None)
        if flow is not None:
            flow.stop()

    def datagram_received(self, raw, source):
        if not self.alive or int.from_bytes(raw[:8], "big") not in (0, self.id):
            return  # the host sends nothing if it is not the intended host
        packet = Packet.decode(raw[8:])
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if not packet.is_intact():
            self.world.record.violation("UNASKED", f"{self.name} got a packet that its sender didn't write so")
            return
        self.world.on_host_packet(self, key, packet, source[0])
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                self.world.on_opening_packet(self, key, packet, source[0])
                self.flows[key] = HostFlow(self, key, packet)
            return
        if packet.flags & RST:
            self.forget(key)
            return
        # The flow opens at the host whose `seq` is acknowledged by the requester's next packet.
        if flow is not None and not flow.opened and packet.ack == (flow.syn_seq + 1) & MASK:
            flow.opened = True
            flow.end.last_ack_received = packet.ack
            self.world.on_flow_open(self, key)
        if flow is None or not flow.opened:
            # A packet of a flow that the host does not hold: it sends an RST to the requester.
            self.send(key, packet.ack, packet.seq, RST, packet.echo, b"")
            self.world.record.line(f"{self.name} gets a packet of flow {self.world.flow_name(key)}, which it does not "
                                   "hold, and sends an RST to the requester")
            return
        flow.end.echo = packet.echo  # each end places the last echo that it received on the flow in its own packets
        flow.end.receive(packet)

    def send(self, key, seq, ack, flags, echo, data):
        src, sport, dst, dport = key
        packet = Packet(seq, ack, flags, echo, dst, dport, src, sport, data)
        self.sent += 1
        if self.lose(packet, self.sent):
            return
        self.transport.sendto(packet.encode(), (ip_text(src), self.world.packet_port))

    def take_request(self, flow, head, body):
        request = re.search(rb"X-Request-Id: (\S+)", head)[1].decode()
        if self.working >= self.slots and len(self.waiting) >= self.queue_limit:
            flow.end.send(b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return
        self.waiting.append((flow, request, head))
        self.work()

    def work(self):
        while self.waiting and self.working < self.slots:
            flow, request, head = self.waiting.pop(0)
            self.working += 1
            work_ms = float(re.search(rb"X-Work-Ms: (\S+)", head)[1]) * self.slowness
            if time.monotonic() < self.warm_at:
                work_ms *= self.world.cold_factor
            self.world.on_run(self, request, work_ms)
            asyncio.get_running_loop().call_later(work_ms / 1000, self.finish, flow, request)

    def finish(self, flow, request):
        self.working -= 1
        body = b"done " + request.encode()
        flow.end.send(b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.work()

    def stop(self):
        self.alive = False
        for key in list(self.flows):
            self.forget(key)
        self.transport.close()
        self.listener.close()


class RequesterFlow:
    """A requester's end of one flow."""

    def __init__(self, requester, port, dport):
        self.requester, self.port, self.dport = requester, port, dport
        world = requester.world
        self.key = (ip_number(requester.address), port, ip_number(world.service_address), dport)
        self.end = End(self.transmit, self.on_bytes)
        self.established, self.reset_by, self.buffer, self.host_address = False, None, b"", None
        self.opened, self.answered = asyncio.Event(), asyncio.Event()
        self.answer = b""

    @property
    def name(self):
        return self.requester.world.flow_name(self.key)

    def transmit(self, seq, ack, flags, echo, data):
        src, sport, dst, dport = self.key
        world = self.requester.world
        director = world.router.choose(self.key)
        if director is not None:
            packet = Packet(seq, ack, flags, echo, src, sport, dst, dport, data)
            self.requester.transport.sendto(packet.encode(), (director.address, world.packet_port))

    async def open(self):
        """A requester sends a SYN, then copies after 200 ms and after 600 ms (`ack` counts them). If no SYN+ACK has
        arrived after 1.4 s, or if an RST arrives, the attempt ends."""
        self.syn_seq = self.end.seq
        self.end.seq = (self.end.seq + 1) & MASK
        self.end.last_ack_received = self.syn_seq
        started = time.monotonic()
        for copy, wait in enumerate((0.2, 0.6, 1.4)):
            self.transmit(self.syn_seq, copy, SYN, 0, b"")
            try:
                await asyncio.wait_for(self.opened.wait(), started + wait - time.monotonic())
                break
            except asyncio.TimeoutError:
                pass
        if not self.established:
            self.close()
        return self.established

    def receive(self, packet, source):
        # The requester places the last `echo` that it received on a flow in its own packets.
        self.end.echo = packet.echo if not packet.flags & RST else self.end.echo
        if packet.flags & RST:
            if self.reset_by is None:
                self.reset_by = source
                self.requester.world.on_reset(self, packet, source)
                self.opened.set()
                self.answered.set()
                self.end.close()
        elif packet.flags & SYN:
            if not self.established and packet.ack == self.end.seq:
                self.established, self.host_address = True, source
                self.end.peer_seq = (packet.seq + 1) & MASK
                self.end.last_ack_received = packet.ack
                self.end.emit(self.end.seq, ACK)
                self.opened.set()
        elif self.established and source == self.host_address:
            self.end.receive(packet)

    def on_bytes(self, data):
        self.buffer += data
        head, separator, rest = self.buffer.partition(b"\r\n\r\n")
        if separator and len(rest) >= int(re.search(rb"Content-Length: (\d+)", head)[1]):
            self.answer, self.buffer = self.buffer, b""
            self.answered.set()

    async def request(self, work_ms, limit_s, body=b"", method="POST"):
        """Sends a request and returns the status of its answer; None if the time limit ends or the flow is reset."""
        world = self.requester.world
        world.requests += 1
        request = f"r{world.requests:05d}"
        self.answered.clear()
        self.answer = b""
        world.on_request(self, request)
        self.end.send((f"{method} /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request}\r\nX-Work-Ms: {work_ms}\r\n"
                       f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        try:
            await asyncio.wait_for(self.answered.wait(), limit_s)
        except asyncio.TimeoutError:
            pass
        status = int(self.answer.split(b" ")[1]) if self.answer else None
        world.on_answer(self, request, status)
        return status

    def close(self):
        self.end.close()
        self.requester.flows.pop(self.port, None)


class Requester(asyncio.DatagramProtocol):
    """Packets for a requester are sent to its address, at the port number of `datagram-addr`."""

    def __init__(self, world, number):
        self.world, self.address, self.next_port, self.flows = world, world.address(64, number), 20000, {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.world.packet_port))

    def flow(self, dport):
        self.next_port += 1
        flow = self.flows[self.next_port] = RequesterFlow(self, self.next_port, dport)
        return flow

    def datagram_received(self, raw, source):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport) if packet is not None else None
        if flow is None:
            return
        is_own_reset = packet.flags & RST and packet.total == 0
        if not is_own_reset and not packet.is_intact():
            self.world.record.violation("MIXED", f"flow {flow.name} got a packet that its sender didn't write so")
            return
        distance = (packet.seq - flow.end.peer_seq + 76800) & MASK
        if is_own_reset and flow.established and distance > 2 * 76800:
            return  # its `seq` is not within 76,800 of the requester's last `ack`
        flow.receive(packet, source[0])


class Director:
    """A guavaramp-director process, started by the command of the deploy file with its settings template."""

    def __init__(self, world, number, zone="z1"):
        self.world, self.number, self.zone, self.address = world, number, zone, world.address(10, number)
        self.name, self.process = f"front-{zone}-{number + 1}", None
        self.in_rotation, self.misses, self.disturbed_until = False, 0, 0.0
        self.partition = Partition((world.store_address, world.store_port))
        self.store_address = world.address(41, number)
        self.settings = os.path.join(world.folder, self.name + ".json")

    async def start_partition(self):
        await asyncio.start_server(self.partition.serve, self.store_address, self.world.store_port)

    def write_settings(self):
        world = self.world
        seeds = [f"{director.address}:{world.control_port}" for director in world.directors[:3]]
        values = {"node": self.name, "zone": self.zone, "listen.datagram-addr": f"{self.address}:{world.packet_port}",
                  "listen.ready": f"{self.address}:{world.ready_port}",
                  "listen.control": f"{self.address}:{world.control_port}", "ip": self.address, "seeds": seeds,
                  "internal-ports.0": world.inner_port, "internal-ports.1": world.inner_port + 15,
                  "platform.address": f"{self.store_address}:{world.store_port}"}

        def fill(match):
            name, as_json = match[1].removesuffix("|json"), match[1].endswith("|json")
            return json.dumps(values[name]) if as_json else str(values[name])

        with open(TEMPLATE) as template, open(self.settings, "w") as file:
            text = template.read().replace(":9402", f":{world.metrics_port}")
            file.write(re.sub(r"\{\{([^}]+)\}\}", fill, text))

    def start(self):
        self.write_settings()
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.world.folder, "GUAVARAMP_CONFIG": self.settings})
        log.close()
        self.world.record.line(f"{self.name} ({self.address}) is started, pid {self.process.pid}")

    def disturb(self, seconds=0.0):
        """Records a disturbance of this machine that ends `seconds` from now."""
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def in_touch(self):
        return time.monotonic() > self.disturbed_until + self.world.stable_window_s

    def send_signal(self, number):
        self.world.record.line(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)


class Router:
    """Routers send each packet to a daemon in rotation, selected by a hash of the flow (`steady`). GET /v1/ready twice
    per second; after two misses a daemon is out of rotation until it responds with 200 again. If fewer than half of a
    zone's daemons are in rotation, all of that zone's daemons are used."""

    def __init__(self, world):
        self.world = world

    def choose(self, key):
        directors = [director for director in self.world.directors if director.zone == "z1"]  # the requesters' zone
        ready = [director for director in directors if director.in_rotation]
        used = ready if 2 * len(ready) >= len(directors) else directors
        return max(used, key=lambda d: zlib.crc32(repr((key, d.address)).encode()), default=None)

    async def poll(self, director):
        while True:
            started, ok = time.monotonic(), False
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(director.address, self.world.ready_port), 0.4)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                ok = b" 200 " in await asyncio.wait_for(reader.readline(), 0.4)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            director.misses = 0 if ok else director.misses + 1
            in_rotation = ok or (director.in_rotation and director.misses < 2)
            if in_rotation != director.in_rotation:
                self.world.record.line(f"{director.name} is {'in' if in_rotation else 'out of'} rotation")
            director.in_rotation = in_rotation
            await asyncio.sleep(max(0.0, started + 0.5 - time.monotonic()))


class World:
    """One deployment on loopback, and the rule that a script checks by overriding the on_... methods."""

    stable_window_s, cold_factor = 4.0, 1.6

    def __init__(self, case_folder, directors=3, other_zone=0, cached_lag_s=0.3):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="guavaramp-review-")
        self.network = self.find_network()
        (self.packet_port, self.ready_port, self.control_port, self.metrics_port, self.store_port, self.host_port,
         self.inner_port) = 8172, 8167, 8166, 9402, 8169, 8080, 7720
        self.store, self.store_address = Store(cached_lag_s), self.address(40, 0)
        self.service_address = self.address(18, 0)
        self.router, self.hosts, self.requesters, self.requests, self.runs = Router(self), [], [], 0, {}
        self.directors = [Director(self, number) for number in range(directors)]
        # Directors of a second zone, in which there are no requesters.
        self.directors += [Director(self, directors + number, "z2") for number in range(other_zone)]
        self.tasks, self.flow_hosts, self.configuration_version = [], {}, 0

    @staticmethod
    def find_network():
        """Returns a random third octet of which no address is in use."""
        for _ in range(50):
            network = random.randrange(1, 250)
            try:
                for octet, port in ((10, 8166), (40, 8169)):
                    with socket.socket() as probe:
                        probe.bind((f"127.{octet}.{network}.1", port))
                return network
            except OSError:
                continue
        raise OSError("no free loopback network found")

    def address(self, octet, number):
        return f"127.{octet}.{self.network}.{number + 1}"

    def flow_name(self, key):
        return f"{ip_text(key[0])}:{key[1]}"

    def write_configuration(self, routes, idle_timeout_ms=12000):
        """Writes op/config with `routes`: dicts with port, service and further fields. Returns its version."""
        self.configuration_version += 3
        self.store.write("op/config", json.dumps(
            {"version": self.configuration_version, "limits": {"idle-timeout-ms": idle_timeout_ms},
             "services": [{"name": name, "health-path": "/health", "max-conns": 2000}
                          for name in sorted({route["service"] for route in routes})],
             "routes": [{"name": f"r{route['port']}", "host": self.service_address, "prefix": f"/{route['port']}/",
                         "service": route["service"], "kind": route.get("kind", "non_idempotent"), "max-attempts": 3,
                         "timeout-ms": route.get("timeout_ms", 2500), "priority": route.get("priority", 1),
                         "target-latency-ms": route.get("target_ms", 150)} for route in routes]}).encode())
        self.record.line(f"the operator writes configuration version {self.configuration_version}: routes to ports "
                         f"{[route['port'] for route in routes]}")
        return self.configuration_version

    async def start(self, hosts, requesters):
        await asyncio.start_server(self.store.serve, self.store_address, self.store_port)
        self.spawn(self.store.expire_leases())
        for host in hosts:
            self.hosts.append(host)
            await host.start()
        for number in range(requesters):
            requester = Requester(self, number)
            await requester.start()
            self.requesters.append(requester)
        for director in self.directors:
            await director.start_partition()
        for director in self.directors:
            director.start()
            self.spawn(self.router.poll(director))

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def host_at(self, address):
        return next((host for host in self.hosts if host.address == address), None)

    def director_at(self, address):
        return next((director for director in self.directors if director.address == address), None)

    def name_of(self, address):
        known = self.host_at(address) or self.director_at(address)
        return known.name if known else address

    # --- called by the stand-ins; scripts override them to check a rule ------------------------------------------
    def on_host_packet(self, host, key, packet, director_address):
        pass

    def on_opening_packet(self, host, key, packet, director_address):
        self.record.line(f"{host.name} takes the opening packet of flow {self.flow_name(key)} from "
                         f"{self.name_of(director_address)}")

    def on_flow_open(self, host, key):
        self.flow_hosts[key] = host
        self.record.line(f"flow {self.flow_name(key)} is open at {host.name}")

    def on_reset(self, flow, packet, source):
        self.record.line(f"flow {flow.name} gets a reset from {self.name_of(source)}")

    def on_request(self, flow, request):
        self.record.line(f"flow {flow.name} sends request {request}")

    def on_run(self, host, request, work_ms):
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record.line(f"{host.name} runs request {request} ({work_ms:.0f} ms)")

    def on_answer(self, flow, request, status):
        outcome = "is answered with " + str(status) if status else "gets no answer"
        self.record.line(f"request {request} on flow {flow.name} {outcome}")

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for director in self.directors:
            if director.process is not None and director.process.poll() is None:
                try:
                    director.process.send_signal(signal.SIGCONT)
                    director.process.kill()
                except ProcessLookupError:
                    pass
                director.process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(make_world, scenario):
    """Runs a script: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def run():
        world = make_world()
        try:
            ran = await asyncio.wait_for(scenario(world), 115)
        finally:
            await world.stop()
            world.record.line(f"end: {len(world.record.violations)} violations")
            world.record.file.close()
        return world, ran

    if not os.access(PROGRAM, os.X_OK):
        print("target/bin/guavaramp-director is missing: build by deploy/system.toml first")
        sys.exit(2)
    try:
        world, ran = asyncio.run(run())
    except Exception as failure:  # the case could not run
        print(f"could not run: {failure!r}")
        sys.exit(2)
    if world.record.violations:
        sys.exit(1)
    if not ran:
        print("could not run: the scenario did not get as far as its check")
        sys.exit(2)
    print("held")
    sys.exit(0)
