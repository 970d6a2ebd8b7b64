"""The store gives the only director of a zone no response for a few seconds. Afterwards a host drains. Reads with
`allow-stale` are 3 s old."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import BOUNDS, ZONES, Caller, run_case  # noqa: E402

PORT = 8080
SILENT_S = 5.0
DRAIN_S, STABLE_S = BOUNDS["drain-ms"] / 1000, BOUNDS["stable-window-ms"] / 1000
OTHER_HOSTS = 12
STALE_S = 3.0


def register_other_host(run, number):
    """Registers a host of a service that has no route. It gets no traffic, so it needs no sockets."""
    entry = {"service": "reports", "address": f"127.21.{run.network}.{number % 250 + 1}:{8080 + number // 250}",
             "zone": ZONES[number % 3], "version": "v1", "slots": 2, "state": "ready", "warmup-left-ms": 0, "sequence": 1,
             "born": run.hosts[0].born}
    run.store.put(f"servers/i-{0x10000000 + number:08x}", json.dumps(entry).encode())


async def open_flows(run, number, director):
    caller = Caller(run, number)
    await caller.bind()
    while not run.ended:
        flow = await caller.open(PORT, director)
        answer = await caller.request(flow) if flow["opened"] else flow["reason"]
        run.served += answer.startswith("done")
        run.lost += not answer.startswith("done")
        if flow["opened"]:
            caller.close(flow)
        await asyncio.sleep(0.1)


async def play(run):
    in_touch_from, leaving = None, None

    def check_opening(host, _packet, source):
        if host is not leaving or host.draining_confirmed_at is None:
            return
        since_s = run.now() - host.draining_confirmed_at
        is_in_touch = source != target.address or run.now() > in_touch_from
        if since_s > DRAIN_S and is_in_touch:
            run.break_rule("DRAIN", f"host {host.name} gets a new flow from {source} {since_s:.2f} s after the store has "
                           "confirmed `draining`")

    run.on_opening = check_opening
    run.store.stale_s = STALE_S
    target = run.directors[2]
    await run.start([("dispatch", zone) for zone in ZONES * 2], [("job-card", PORT, "dispatch")])
    for number in range(OTHER_HOSTS):
        register_other_host(run, number)
    run.note(f"the store lists {sum(key.startswith('servers/') for key in run.store.items)} hosts")
    callers = [asyncio.create_task(open_flows(run, number, run.directors[number % 3])) for number in range(12)]
    await asyncio.sleep(12)
    # Two hosts are added within a second, then the store turns the director away.
    register_other_host(run, OTHER_HOSTS)
    await asyncio.sleep(0.3)
    register_other_host(run, OTHER_HOSTS + 1)
    await asyncio.sleep(0.3)
    if run.trouble:
        run.store.silent_for.add(target.address)
        run.note(f"store: begins to turn {target.address} of {target.zone} away")
    await asyncio.sleep(SILENT_S)
    run.store.silent_for.clear()
    run.note("store: serves all directors")
    in_touch_from = run.now() + STABLE_S
    await asyncio.sleep(STABLE_S)
    # The host drains after the director has compared its listing with a cached answer once more.
    check = (target.address, "/v1/kv-range?prefix=servers/&allow-stale=1")
    while run.trouble and run.store.last_answer_at.get(check, 0) < in_touch_from:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.2)
    leaving = next(host for host in run.hosts if host.zone == target.zone)
    leaving.drain()
    await asyncio.sleep(DRAIN_S + 6)
    for director in run.directors:
        changes = [(e["change"], e["phase"]) for e in director.log_events("upstream_changed")
                   if e["upstream"] == leaving.name]
        run.note(f"{director.address}: changes of {leaving.name}: {changes}")
    for task in callers:
        task.cancel()


run_case(os.path.join(FOLDER, "record.txt"), ZONES, play)
