"""Both readers of a failure domain lose the watch of the configuration at once; see claim.txt."""
import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import stand_ins_3 as s  # noqa: E402

CONFIG_S = 3.0         # config-ms of raochan-dn
STABLE_WINDOW_S = 4.0  # stable-window-ms of raochan-dn
PORT = 8443
ROUNDS, ROUND_S = 4, 9.0
CHANGE_AFTER_CUT_S = 0.1
STALE_S = 4.0          # age of the store's answers to calls that allow stale ones
# The watches of the configuration are cut while both watches of the listing have waited for this long. At other times
# a reader may be due to report to the other one that its read has failed, and then both read again sooner.
MIN_LISTING_WAIT_S, MAX_LISTING_WAIT_S = 0.45, 1.2


async def probe(case, callers, director, sent_by, version_at, allowed, is_in_touch):
    """Opens a flow through `director` and sends a request. The rule is broken if a service runs it that only an older
    version allows, the flow's opening packet was sent later than the bound after the newest confirmation, and the director
    is in touch: none of its connections was cut in this round."""
    flow = s.Flow(callers[director.number], PORT, lambda _: director)
    answer = await flow.request(2.5) if await flow.open() else None
    sent_after = flow.opened_at - version_at
    if answer is not None:
        service = answer.split("X-Service: ")[1].split("\r\n")[0]
        is_late = sent_after > CONFIG_S and service != allowed and is_in_touch
        text = (f"CONFIG: a request that was sent {sent_after:.3f} s after the confirmation of version {sent_by} was run "
                f"by {service} through director {director.number + 1}, the version allows only {allowed}")
        case.broken(text) if is_late else None
    flow.close()


async def moment_of_cut(store):
    while True:
        now = time.monotonic()
        waits = [now - entry[2] for entry in store.waiting if entry[1] == "servers/"]
        watches = [entry for entry in store.waiting if entry[1] == "op/"]
        if len(watches) == 2 and len(waits) == 2 and MIN_LISTING_WAIT_S <= min(waits) <= max(waits) <= MAX_LISTING_WAIT_S:
            return
        await asyncio.sleep(0.01)


async def play(case):
    store = s.Store(case)
    await store.start(3)
    store.put("op/config", s.configuration(case, 1, {PORT: "alpha"}))
    for number, service in enumerate(["alpha", "alpha", "beta", "beta"]):
        await s.Host(case, store, number, service, "haichau").start()
    callers = [s.Caller(case, number) for number in range(3)]
    for caller in callers:
        await caller.start()
    await asyncio.sleep(0.5)
    directors = [s.Director(case, number, "haichau", 3) for number in range(3)]
    for director in directors:
        director.start()
    await s.wait_until_ready(directors)
    # The directors agree on two readers once they know each other.
    settled_since = None
    while settled_since is None or time.monotonic() - settled_since < 3:
        await asyncio.sleep(0.1)
        readers = {entry[0] for entry in store.waiting}
        settled_since = (settled_since or time.monotonic()) if len(readers) == 2 else None
        if case.now() > 40:
            raise s.CouldNotRun(f"the directors that read the store are {sorted(readers)}, expected two")
    case.log(f"directors {sorted(number + 1 for number in readers)} read the store")
    store.stale_s = STALE_S
    await asyncio.sleep(STABLE_WINDOW_S)
    tasks = []
    for number in range(ROUNDS):
        round_at = time.monotonic()
        await moment_of_cut(store)
        cut = {entry[0] for entry in store.waiting if entry[1] == "op/"} if case.with_trouble else set()
        if case.with_trouble:
            case.log(f"{store.cut_watches('op/')} watches cut")
        await asyncio.sleep(CHANGE_AFTER_CUT_S)
        version, service = 10 + 7 * number, ["beta", "alpha"][number % 2]
        store.put("op/config", s.configuration(case, version, {PORT: service}))
        confirmed_at = time.monotonic()
        case.log(f"store confirms version {version}: port {PORT} goes to {service}")
        await asyncio.sleep(CONFIG_S + 0.02)
        while time.monotonic() < confirmed_at + CONFIG_S + 1.2:
            tasks += [asyncio.create_task(probe(case, callers, director, version, confirmed_at, service,
                                           director.number not in cut))
                      for director in directors]
            await asyncio.sleep(0.05)
        await asyncio.sleep(round_at + ROUND_S - time.monotonic())
    await asyncio.gather(*tasks)


s.run(HERE, play)
