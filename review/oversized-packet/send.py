"""Sends one datagram of 2,048 bytes to a director. Not a case of the review, since the pages limit a packet's data to 1,200
bytes and name no caller that sends more."""
import asyncio
import os
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins_2 as stand_ins  # noqa: E402

PORT = 8080
DATAGRAM_BYTES = 2048  # a director's receive buffer; with the 8 bytes for the host it does not fit the send buffer


async def play(run):
    await run.start([("dispatch", "accra-central")] * 3, [("job-card", PORT, "dispatch")])
    caller = stand_ins.Caller(run, 0)
    await caller.bind()
    director = run.directors[0]
    size = DATAGRAM_BYTES if run.trouble else stand_ins.HEADER.size + 1200
    data = stand_ins.pack(1, 0, stand_ins.SYN, 0, stand_ins.ip_number(stand_ins.ROUTE_ADDRESS), 5000, PORT,
                          stand_ins.ip_number(caller.address), b"\x41" * (size - stand_ins.HEADER.size))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, (director.address, stand_ins.PACKET_PORT))
    run.note(f"a datagram of {len(data)} bytes is sent to {director.address}")
    await asyncio.sleep(0.2)
    flow = await caller.open(PORT)  # the director uses the overwritten pointer when it places the next flow
    run.note(f"the next flow: {flow['reason']}")
    await asyncio.sleep(0.5)
    status = director.process.poll()
    run.note(f"{director.address}: exit status {status}")
    if status is not None:
        run.break_rule("a process ends by itself", f"{director.address} ended with status {status}")


stand_ins.run_case(os.path.join(FOLDER, "record.txt"), ["accra-central"], play)
