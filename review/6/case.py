"""The store gives one reader of a failure domain no response for a few seconds. Afterwards a configuration is changed."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import BOUNDS, Caller, run_case  # noqa: E402

ZONE = "accra-central"
STEADY, MOVED, ADDED = 8080, 8500, 8600
IDLE_ROUTES = [(f"idle-{n:04}", 10000 + n, "dispatch") for n in range(8 + 3 * 350)]
SILENT_S = 2.0
CONFIG_S, STABLE_S = BOUNDS["config-ms"] / 1000, BOUNDS["stable-window-ms"] / 1000


def routes(moved_to, added, step):
    return ([("steady", STEADY, "dispatch"), ("moved", MOVED, moved_to)] +
            ([("added", ADDED, "dispatch")] if added else []) + IDLE_ROUTES + [(f"step-{step}", 9000 + step, "dispatch")])


async def send_traffic(run, number):
    caller = Caller(run, number)
    await caller.bind()
    while not run.ended:
        flow = await caller.open(STEADY)
        for _ in range(5):
            answer = await caller.request(flow) if flow["opened"] else flow["reason"]
            if not answer.startswith("done"):
                run.lost += 1
                break
            run.served += 1
            await asyncio.sleep(0.3)
        if flow["opened"]:
            caller.close(flow)


async def look(run, number, director, due_at, until):
    """Sends flows to one ready director, as the platform does, and checks which configuration it handles them by."""
    caller = Caller(run, number)
    await caller.bind()
    while run.now() < until:
        for port in (MOVED, ADDED):
            flow = await caller.open(port, director)
            answer = await caller.request(flow) if flow["opened"] else flow["reason"]
            if flow["opened"]:
                caller.close(flow)
            late_s = flow["sent_at"] - due_at
            run.note(f"look: port {port} through {director.address}, sent {late_s:+.2f} s from the bound: {answer}")
            is_old = answer == "done by dispatch" if port == MOVED else answer.startswith("reset from " + director.address)
            if late_s > 0 and is_old:
                run.break_rule("CONFIG", f"port {port} through {director.address}, sent {late_s + CONFIG_S:.2f} s after "
                               f"the confirmation of version {run.version}: {answer}")
        await asyncio.sleep(0.2)


def readers_of(run):
    """Returns the directors that read the store; the others take the changes from them."""
    sources = {d: [e["source"] for e in d.log_events("news_source_changed")] for d in run.directors}
    return [director for director, source in sources.items() if source and source[-1] == "store"]


async def play(run):
    await run.start([("dispatch", ZONE)] * 5 + [("reports", ZONE)] * 2, routes("dispatch", False, 0))
    traffic = [asyncio.create_task(send_traffic(run, number)) for number in range(6)]
    await asyncio.sleep(8)
    while len(readers := readers_of(run)) != 2:  # all directors of a fresh domain read the store for a while
        await asyncio.sleep(0.5)
    target = readers[0]
    run.note(f"readers of the store: {[reader.address for reader in readers]}; turned away: {target.address}")
    # Two changes within a second, then the store turns the reader away.
    run.write_configuration(routes("dispatch", False, 1))
    await asyncio.sleep(0.3)
    run.write_configuration(routes("dispatch", False, 2))
    await asyncio.sleep(0.3)
    if run.trouble:
        run.store.silent_for.add(target.address)
        run.note(f"store: begins to turn {target.address} away")
    await asyncio.sleep(SILENT_S)
    run.store.silent_for.clear()
    served_again_at = run.now()
    run.note("store: serves all directors")
    # The operator's next change comes when the store has been without disturbance for the stable window, and after the
    # director has compared its configuration with the store's once more.
    await asyncio.sleep(STABLE_S)
    check = (target.address, "/v1/kv-key?key=op/config&allow-stale=1")
    while run.trouble and run.store.last_answer_at.get(check, 0) < served_again_at + STABLE_S:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    confirmed_at = run.write_configuration(routes("reports", True, 3))
    due_at = max(confirmed_at + CONFIG_S, served_again_at + STABLE_S)
    until = confirmed_at + 9
    await asyncio.gather(*(look(run, 50 + d.number, d, due_at, until) for d in run.directors))
    for director in run.directors:
        versions = [(e["version"]) for e in director.log_events("configuration_in_force")]
        run.note(f"{director.address}: configurations in force {versions}, missed by a watch: "
                 f"{len(director.log_events('watch_missed_change'))}")
    for task in traffic:
        task.cancel()


run_case(os.path.join(FOLDER, "record.txt"), [ZONE] * 3, play)
