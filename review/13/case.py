"""A planned stop hands an open flow of a new route to a director that does not know the route yet; see claim.txt."""
import asyncio
import os
import sys
import time
import zlib

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import stand_ins_3 as s  # noqa: E402

OLD_PORT, ROUNDS, TIME_LIMIT_S = 8443, 3, 2.5
CHECK_PERIOD_S, MISSES = 0.5, 2  # of the routers
CHANGE_AFTER_CUT_S = 0.1
# The cut comes while both watches of the listing of haichau have waited for this long, as in case 11.
MIN_LISTING_WAIT_S, MAX_LISTING_WAIT_S = 0.45, 1.2
HAICHAU = {1, 2, 3}  # the numbers of its directors; number 0 is the only one of lienchieu


class Router:
    """Routers of lienchieu: a steady hash over its directors in rotation, or over those of haichau if it has none."""

    def __init__(self, directors):
        self.directors, self.in_rotation, self.misses = directors, set(directors), {d: 0 for d in directors}

    def route_to(self, zone, address, port):
        candidates = [d for d in self.in_rotation if (d.number in HAICHAU) == (zone == "haichau")]
        return max(candidates, default=None, key=lambda d: zlib.crc32(f"{address}:{port}>{d.address}".encode()))

    def route(self, flow):
        return (self.route_to("lienchieu", flow.caller.address, flow.port) or
                self.route_to("haichau", flow.caller.address, flow.port))

    async def check(self, director):
        while True:
            if await director.ask_readiness():
                self.misses[director] = 0
                self.in_rotation.add(director)
            else:
                self.misses[director] += 1
                if self.misses[director] >= MISSES and director in self.in_rotation:
                    self.in_rotation.discard(director)
                    self.case_log(f"director {director.number + 1} is out of rotation")
            await asyncio.sleep(CHECK_PERIOD_S)


def readers_of_haichau(store):
    return {entry[0] for entry in store.waiting if entry[0] in HAICHAU}


async def moment_of_cut(store):
    while True:
        now = time.monotonic()
        waiting = [entry for entry in store.waiting if entry[0] in HAICHAU]
        waits = [now - entry[2] for entry in waiting if entry[1] == "servers/"]
        watches = [entry for entry in waiting if entry[1] == "op/"]
        if len(watches) == 2 and len(waits) == 2 and MIN_LISTING_WAIT_S <= min(waits) <= max(waits) <= MAX_LISTING_WAIT_S:
            return
        await asyncio.sleep(0.01)


async def play_round(case, store, caller, router, directors, number):
    follower = next(d for d in directors if d.number in HAICHAU - readers_of_haichau(store))
    port = 9000 + number
    while router.route_to("haichau", caller.address, caller.next_port) is not follower:
        caller.next_port += 1
    await moment_of_cut(store)
    if case.with_trouble:
        store.cut_watches("op/", HAICHAU)
    await asyncio.sleep(CHANGE_AFTER_CUT_S)
    routes = {OLD_PORT: "alpha", **{9000 + earlier: "alpha" for earlier in range(number + 1)}}
    store.put("op/config", s.configuration(case, 10 + 7 * number, routes))
    confirmed_at = time.monotonic()
    case.log(f"store confirms version {10 + 7 * number}, which adds port {port}")
    await asyncio.sleep(0.3)
    flow = s.Flow(caller, port, router.route)
    if not await flow.open() or await flow.request(TIME_LIMIT_S) is None:
        raise s.CouldNotRun("a flow of the new route was not served before the stop")
    directors[0].signal(s.signal.SIGTERM)
    while router.route(flow) is directors[0]:
        await asyncio.sleep(0.01)
    case.log(f"director {router.route(flow).number + 1} gets the packets of {flow.name}, {flow.dport} is its port")
    answer = await flow.request(TIME_LIMIT_S)
    if flow.reset_by is not None and flow.reset_by != flow.host:
        case.broken(f"FLOW: {flow.name}, which is open at {flow.host}, is reset by {flow.reset_by} "
                    f"{time.monotonic() - confirmed_at:.3f} s after the confirmation of its route")
    case.log(f"the last request is {'answered' if answer else 'not answered'}")
    flow.close()
    await directors[0].ended()
    await asyncio.sleep(s.RESTART_DELAY_S)
    directors[0].start()
    await asyncio.sleep(7)


async def play(case):
    store = s.Store(case)
    await store.start(4)
    store.put("op/config", s.configuration(case, 1, {OLD_PORT: "alpha"}))
    for number, zone in enumerate(["lienchieu", "haichau"]):
        await s.Host(case, store, number, "alpha", zone).start()
    caller = s.Caller(case, 0)
    await caller.start()
    directors = [s.Director(case, number, "haichau" if number in HAICHAU else "lienchieu", 4) for number in range(4)]
    for director in directors:
        director.start()
    await s.wait_until_ready(directors)
    router = Router(directors)
    router.case_log = case.log
    checks = [asyncio.create_task(router.check(director)) for director in directors]
    settled_since = None
    while settled_since is None or time.monotonic() - settled_since < 4:
        await asyncio.sleep(0.1)
        settled_since = (settled_since or time.monotonic()) if len(readers_of_haichau(store)) == 2 else None
        if case.now() > 40:
            raise s.CouldNotRun("haichau has not settled on two readers")
    for number in range(ROUNDS):
        await play_round(case, store, caller, router, directors, number)
    for task in checks:
        task.cancel()


s.run(HERE, play)
