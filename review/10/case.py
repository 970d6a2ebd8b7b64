"""The store turns away 41 of a zone's 43 directors, those that would read it first. Just then a host drains. The fleet has
136 directors, as the site demands/caroni-cast-grown."""
import asyncio
import os
import struct
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins_2 import BOUNDS, INTERNAL_PORTS, Caller, ip_number, run_case  # noqa: E402

PORT = 8080
ZONE = "tt-north-b"
ZONE_SIZES = {"tt-north-a": 48, "tt-north-b": 43, "tt-north-c": 45}
TURNED_AWAY = 41  # 0.30 of the machines; the site turns up to 0.35 away
BUSY_S = 9.0
MASK = (1 << 64) - 1
# Part of the default secret of XXH3, and the seed of the order of readers in libs/director/src/fleet/update_relay.cpp.
SECRET = bytes.fromhex("de d4 6d e9 83 90 97 db 72 40 a4 a4 b7 b3 67 1f cb 79 e6 4e cc c0 e5 78 82 5a d0 7d cc ff 72 21"
                       "b8 08 46 74 f7 43 24 8e".replace(" ", ""))
RANK_SEED = 0x72656164657273


def rank_of(director):
    """Returns the number by which directors of a zone agree who reads the store: XXH3 of the 16 bytes of the address."""
    address = bytes(10) + b"\xff\xff" + struct.pack(">I", ip_number(director.address))
    seed = RANK_SEED + INTERNAL_PORTS[1]
    secret = struct.unpack("<5Q", SECRET)
    low, high = struct.unpack("<2Q", address)
    low ^= ((secret[1] ^ secret[2]) + seed) & MASK
    high ^= ((secret[3] ^ secret[4]) - seed) & MASK
    product = low * high
    swapped = int.from_bytes(low.to_bytes(8, "little"), "big")
    mixed = (16 + swapped + high + ((product & MASK) ^ (product >> 64))) & MASK
    mixed ^= mixed >> 37
    mixed = mixed * 0x165667919E3779F9 & MASK
    return mixed ^ mixed >> 32


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
    run.bounds = BOUNDS | {"drain-ms": 5000, "config-ms": 5000, "stable-window-ms": 5000}
    leaving = None

    def check_opening(host, _packet, source):
        if host is not leaving or host.draining_confirmed_at is None:
            return
        since_s = run.now() - host.draining_confirmed_at
        if since_s > run.bounds["drain-ms"] / 1000 and source in calm:
            run.break_rule("DRAIN", f"host {host.name} gets a new flow from {source} {since_s:.2f} s after the store has "
                           "confirmed `draining`")

    run.on_opening = check_opening
    in_order = sorted((d for d in run.directors if d.zone == ZONE), key=rank_of)
    turned_away = [director.address for director in in_order[:TURNED_AWAY]]
    calm = {director.address for director in in_order[TURNED_AWAY:]}
    await run.start([("dispatch", ZONE)] * 6, [("feed-lookup", PORT, "dispatch")])
    callers = [asyncio.create_task(open_flows(run, number, director))
               for number, director in enumerate(in_order[TURNED_AWAY:] * 4)]
    await asyncio.sleep(25)
    if run.trouble:
        run.store.turn_away(turned_away)
        run.note(f"store: begins to turn {len(turned_away)} of {len(run.directors)} directors away, all but "
                 f"{sorted(calm)} of {ZONE}")
    await asyncio.sleep(0.1)
    leaving = run.hosts[2]
    leaving.drain()
    await asyncio.sleep(BUSY_S - 0.1)
    run.store.turn_away([])
    run.note("store: serves all directors")
    await asyncio.sleep(3)
    for director in run.directors:
        if director.address in calm:
            changes = [(e["time"], e["change"], e["phase"]) for e in director.log_events("upstream_changed")
                       if e["upstream"] == leaving.name]
            sources = [(e["time"], e["source"]) for e in director.log_events("news_source_changed")]
            run.note(f"{director.address}: changes of {leaving.name}: {changes}; {sources[-3:]}")
    for task in callers:
        task.cancel()


if __name__ == "__main__":
    run_case(os.path.join(FOLDER, "record.txt"), [zone for zone, size in ZONE_SIZES.items() for _ in range(size)], play)
