"""Case 3: two directors lose the store and then die; a third one, in touch, goes on sending new flows to a leaving host.

Five directors in two zones. In the zone with three, two read the store for the third. These two are partitioned from the
store, and 1.93 s later they are killed. A host reports that it is draining just after the partition began.
"""
import asyncio
import os
import random
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stand_ins  # noqa: E402
from stand_ins import Host  # noqa: E402

PORT, SERVICE, WORK_MS, LIMIT_S = 8443, "taller-vivo", 15, 2.0
DRAIN_S = 3.0            # bound `drain-ms`
NEW_FLOWS_PER_S = 240
KILL_AFTER_S = 1.93      # after the host reported that it is draining
DOWN_S = 1.9             # how long the killed directors stay down; the site file's herd_kill has 2.0
ROUNDS = 6


class Case(stand_ins.World):
    def __init__(self):
        super().__init__(os.path.dirname(os.path.abspath(__file__)), directors=3, other_zone=2)
        self.over, self.opened = False, []  # (time, director's address, host) of each opening packet

    def on_opening_packet(self, host, key, packet, director_address):
        self.opened.append((time.monotonic(), director_address, host))
        if host.drained_at is None:
            return
        late_s = time.monotonic() - host.drained_at - DRAIN_S
        director = self.director_at(director_address)
        self.record.line(f"{host.name}, draining for {late_s + DRAIN_S:.3f} s, takes the opening packet of flow "
                         f"{self.flow_name(key)} from {director.name}, "
                         f"{'in touch' if director.in_touch() else 'not in touch'}")
        if late_s > 0 and director.in_touch():
            self.record.violation("DRAIN", f"flow {self.flow_name(key)} reaches {host.name} through {director.name}, which "
                                  f"is in touch, {late_s + DRAIN_S:.3f} s after the store confirmed `draining`")

    def on_flow_open(self, host, key):
        self.flow_hosts[key] = host

    def on_request(self, flow, request):
        pass

    def on_run(self, host, request, work_ms):
        self.runs[request] = self.runs.get(request, 0) + 1
        if host.drained_at is not None:
            self.record.line(f"{host.name} runs request {request}")

    def on_answer(self, flow, request, status):
        pass

    async def one_request(self, requester):
        flow = requester.flow(PORT)
        if await flow.open():
            await flow.request(WORK_MS, LIMIT_S, method="GET")
        flow.close()

    async def traffic(self):
        while not self.over:
            self.spawn(self.one_request(random.choice(self.requesters)))
            await asyncio.sleep(1 / NEW_FLOWS_PER_S)

    def most_used_host(self, director):
        """Returns the host that took most of the opening packets of the last 2 s from `director`."""
        recent = [host for at, address, host in self.opened
                  if at > time.monotonic() - 2.0 and address == director.address and host.drained_at is None]
        return max(recent, key=recent.count, default=None)

    def readers(self):
        """Returns the directors of the requesters' zone that read the store for the others."""
        return [d for d in self.directors if d.zone == "z1" and time.monotonic() - d.partition.checked_at < 2.5]


async def wait_until(condition, limit_s):
    deadline = time.monotonic() + limit_s
    while not condition() and time.monotonic() < deadline:
        await asyncio.sleep(0.02)
    return condition()


async def one_round(world, number):
    """Returns whether the round ran as planned."""
    ready = await wait_until(lambda: len(world.readers()) == 2 and all(d.in_rotation for d in world.directors), 15)
    await asyncio.sleep(4.5 + random.uniform(0.0, 0.7))  # no fixed phase to the readers' periodic reports
    readers = world.readers()
    if not ready or len(readers) != 2:
        return False
    world.record.line(f"round {number}: readers of the store are {', '.join(d.name for d in readers)}")
    # Planned work: a host is replaced; the new one starts first, then the old one drains.
    third = next(d for d in world.directors if d.zone == "z1" and d not in readers)
    old = world.most_used_host(third)
    if old is None:
        return False
    new = Host(world, len(world.hosts), SERVICE)
    world.hosts.append(new)
    await new.start()
    await asyncio.sleep(0.03)
    if world.trouble:
        for director in readers:
            director.partition.cut = True
            director.disturb(60)
        world.record.line(f"DISRUPTION: {', '.join(d.name for d in readers)} are partitioned from the store")
    started = time.monotonic()
    old.report("draining")
    await asyncio.sleep(max(0.0, started + KILL_AFTER_S - time.monotonic()))
    if world.trouble:
        for director in readers:
            director.send_signal(stand_ins.signal.SIGKILL)
        world.record.line("DISRUPTION: both are killed")
    await asyncio.sleep(DOWN_S)
    for director in readers if world.trouble else []:
        director.partition.cut = False
        director.start()
        director.disturbed_until = time.monotonic()
    await asyncio.sleep(5.1)
    old.stop()
    world.store.delete(old.key)
    return True


async def scenario(world):
    world.write_configuration([{"port": PORT, "service": SERVICE, "kind": "idempotent"}])
    await world.start([Host(world, number, SERVICE) for number in range(4)], requesters=8)
    if not await wait_until(lambda: all(d.in_rotation for d in world.directors), 20):
        return False
    world.spawn(world.traffic())
    await asyncio.sleep(8.0)
    ran = 0
    for number in range(ROUNDS):
        if world.record.now() > 88 or world.record.violations:
            break
        ran += await one_round(world, number)
    world.over = True
    return ran > 0


if __name__ == "__main__":
    stand_ins.main(Case, scenario)
