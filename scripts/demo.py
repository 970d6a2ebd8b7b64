"""The steps of scripts/demo: two services on four hosts behind three entry VMs."""
import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from experiments import web  # noqa: E402
from experiments.fleet import (BIN, LEAVE_AFTER_MS, OPERATOR_KEY, SERVICES, STOP_TIMEOUT_S, Fleet,
                               MissingPart, lock_addresses)  # noqa: E402

TIME_LIMIT_S = 55


def step(text):
    print(f"\n== {text}", flush=True)


def run_ctl(fleet, command):
    """Runs guavaramp-ctl as an operator would and prints what it prints."""
    key_file = fleet.write("operator-key", OPERATOR_KEY + "\n")
    shown = f"guavaramp-ctl --entry {fleet.entries[0].address}:6083 --key-file KEY {command}"
    print(f"$ {shown}", flush=True)
    answer = subprocess.run([os.path.join(BIN, "guavaramp-ctl"), "--entry",
                             f"{fleet.entries[0].address}:6083", "--key-file", key_file] + command.split(),
                            capture_output=True, text=True, timeout=15, check=False)
    print(answer.stdout.rstrip() + answer.stderr.rstrip(), flush=True)
    if answer.returncode != 0:
        raise MissingPart(f"guavaramp-ctl ended with status {answer.returncode}")


def show_flows(fleet):
    stats = fleet.flows("/stats")
    print(f"flows opened: {stats['opened']}, open: {stats['open']}, broken: {stats['broken']}")
    for name, group in stats["groups"].items():
        hosts = ", ".join(f"{host} {count}" for host, count in sorted(group["hosts"].items()))
        print(f"  {name}: {group['answers']} answers, open flows by host: {hosts}")
    return stats


def demo(fleet):
    step("Start: platform stand-in, 4 hosts (2 for each service), 3 entry VMs, callers with their fabric")
    fleet.start_all()
    for entry in fleet.entries:
        print(f"entry VM {entry.address} in {entry.domain}")
    for host in fleet.hosts:
        print(f"host {host.name} at {host.address}, speed {host.speed}, serves {', '.join(host.services)}")

    step("Callers open 2,000 flows; each packet goes to a random entry VM")
    for name in SERVICES:
        fleet.open_group(name, name, 1000, 1000, 1000)
    fleet.wait_open(2000, 6.0)
    time.sleep(2.0)
    show_flows(fleet)

    step("An operator drains h01: its flows go on, it gets no new ones")
    run_ctl(fleet, "drain upstream dispatch/h01")
    run_ctl(fleet, "show service dispatch")
    time.sleep(3.0)
    accepted = web.get(fleet.host("h01").url("/packets"))["accepted"]
    fleet.open_group("later", "dispatch", 300, 1000, 1000)
    time.sleep(2.0)
    later = web.get(fleet.host("h01").url("/packets"))["accepted"] - accepted
    print(f"new flows on h01 in 300 new ones: {later}")

    victim = fleet.entries[1]
    step(f"Entry VM {victim.address} is stopped")
    began = time.monotonic()
    victim.process.signal(signal.SIGTERM)
    fleet.remove_from_fabric(victim, LEAVE_AFTER_MS)
    status = victim.process.wait(STOP_TIMEOUT_S)
    print(f"ended with status {status} after {time.monotonic() - began:.1f} s")
    time.sleep(7.0)

    step("Result")
    stats = show_flows(fleet)
    print(f"packets delivered to a host of another service: {fleet.packets('misdelivered')}")
    print(f"flows broken: {stats['broken']}")
    for item in fleet.flows("/broken")["broken"][:5]:
        print(f"  {item['flow']}: {item['cause']}")
    return 0 if stats["broken"] == 0 and stats["open"] >= 2000 else 1


def on_signal(number, frame):
    raise SystemExit(f"scripts/demo: ended by signal {number}")


def main():
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, on_signal)
    lock = lock_addresses()
    signal.alarm(TIME_LIMIT_S)
    try:
        with Fleet(1, entries_by_domain=[3], dispatch_hosts=2, records_hosts=2, spare_hosts=0) as fleet:
            return demo(fleet)
    except (MissingPart, web.CallFailed) as failure:
        print(f"scripts/demo: {failure}", file=sys.stderr)
        return 1
    finally:
        lock.close()


if __name__ == "__main__":
    sys.exit(main())
