"""Experiments about flows: planned-changes, crash, spread, silent-flows."""
import statistics
import threading
import time

from . import web
from .fleet import DEAD_AFTER_MS, STOP_TIMEOUT_S, Fleet, MissingPart, note
from .measure import CounterSampler

OPEN_RATE = 4000
STOP_PERIOD_S = 2.5


def change(fleet, command):
    """Runs a configuration change and returns the answer; a refused change is an error of the experiment."""
    answer = fleet.query(command)
    note(f"{command}: {answer.get('text', answer)}")
    return answer


def open_standard_flows(fleet, dispatch, records, interval_ms):
    fleet.open_group("dispatch", "dispatch", dispatch, OPEN_RATE, interval_ms)
    fleet.open_group("records", "records", records, OPEN_RATE, interval_ms)
    wanted = dispatch + records
    opened = fleet.wait_open(wanted, 10.0 + wanted / OPEN_RATE)
    note(f"open flows: {opened}")
    return opened


def require_flows(opened, wanted, stats):
    if opened < wanted * 0.9:
        raise MissingPart(f"only {opened} of {wanted} flows could be opened: {stats}")


def by_turns(entries):
    """Entry VMs in an order in which neighbours are in different failure domains."""
    waiting = {}
    for entry in entries:
        waiting.setdefault(entry.domain, []).append(entry)
    order = []
    while any(waiting.values()):
        for group in waiting.values():
            if group:
                order.append(group.pop(0))
    return order


def replace_all_entries(fleet):
    """Replaces every entry VM in turn. The next stop begins `STOP_PERIOD_S` after the one before, in another
    failure domain, so that all nine fit into the time of an experiment although a stop lasts several
    seconds. Returns exit status and seconds of the stops."""
    stops = []

    def replace(entry):
        status, seconds = fleet.replace_entry(entry)
        note(f"entry VM {entry.address} replaced: status {status}, stop took {seconds:.1f} s")
        stops.append((status, seconds))

    threads = []
    for entry in by_turns(fleet.entries):
        thread = threading.Thread(target=replace, args=(entry,), daemon=True)
        thread.start()
        threads.append(thread)
        time.sleep(STOP_PERIOD_S)
    for thread in threads:
        thread.join(STOP_TIMEOUT_S)
    return stops


def planned_changes(seed, options):
    """Overlapping planned changes with open flows that keep sending."""
    with Fleet(seed) as fleet:
        fleet.start_all()
        # Above 20,000 so that no moment of the run has fewer.
        opened = open_standard_flows(fleet, 15000, 5500, 2500)
        require_flows(opened, 20500, fleet.flows("/stats"))
        # New flows keep arriving, so that a draining host could get some.
        fleet.open_group("short", "dispatch", 200, 100, 500, lifetime_ms=2000)
        sampler = CounterSampler(fleet.entries)
        time.sleep(1.0)
        sampler.reset()
        least_open = [opened]

        def watch_open(stop):
            while not stop.wait(0.5):
                try:
                    groups = fleet.flows("/stats")["groups"]
                    least_open[0] = min(least_open[0], groups["dispatch"]["open"] + groups["records"]["open"])
                except web.CallFailed:
                    continue

        stopping = threading.Event()
        watcher = threading.Thread(target=watch_open, args=(stopping,), daemon=True)
        watcher.start()
        failures = []

        def change_configuration():
            try:
                spare = next(host for host in fleet.hosts if host.spare)
                change(fleet, "drain upstream dispatch/h07")
                web.post(fleet.host("h07").url("/standin/mark"), {})
                time.sleep(2.0)
                change(fleet, f"add upstream dispatch/{spare.name} address {spare.address} weight 100")
                time.sleep(2.0)
                change(fleet, "set weight dispatch/h03 50")
                time.sleep(1.0)
                change(fleet, "set weight dispatch/h05 200")
            except (web.CallFailed, StopIteration) as failure:
                failures.append(str(failure))

        changes = threading.Thread(target=change_configuration, daemon=True)
        changes.start()
        stops = replace_all_entries(fleet)
        changes.join(20.0)
        # Every flow sends once more and has the time to be found broken.
        time.sleep(2.5 + 3.0)
        sampler.stop()
        stopping.set()
        watcher.join(2.0)
        if failures:
            raise MissingPart("a configuration change failed: " + failures[0])
        stats = fleet.flows("/stats")
        for item in fleet.flows("/broken")["broken"][:5]:
            note(f"broken: {item}")
        fields = {
            "open_flows": least_open[0],
            "broken_flows": stats["broken"],
            "broken_by_cause": stats["broken_by_cause"],
            "opened_flows": stats["opened"],
            "messages": sum(group["messages"] for group in stats["groups"].values()),
            "retransmissions": stats["retransmissions"],
            "misdelivered_packets": fleet.packets("misdelivered"),
            "new_work_on_draining_after_3s": web.get(fleet.host("h07").url("/packets"))["accepted_after_drain"],
            "new_work_on_added_host": web.get(fleet.hosts[-1].url("/packets"))["accepted"],
            "planned_stops": len(stops),
            "planned_stops_ended_by_themselves": sum(1 for status, _ in stops if status == 0),
            "planned_stop_s_max": round(max(seconds for _, seconds in stops), 2),
        }
        fields.update(sampler.fields())
        return fields


def recovery_seconds(timeline, crash_ms, before_ms):
    """Seconds from the crash until the last 100 ms interval whose share of retransmissions exceeds that
    before the crash by more than one in a hundred."""
    def share(items):
        sent = sum(item["sent"] for item in items)
        return sum(item["retransmitted"] for item in items) / sent if sent else 0.0

    before = share([item for item in timeline if before_ms <= item["at_ms"] < crash_ms])
    last = 0.0
    for item in timeline:
        end_ms = item["at_ms"] + 100
        if end_ms > crash_ms and item["sent"] >= 20 and share([item]) > before + 0.01:
            last = max(last, (end_ms - crash_ms) / 1000.0)
    return last


def crash(seed, options):
    """One entry VM killed, a second 2 s later, during an uneven configuration update."""
    with Fleet(seed) as fleet:
        fleet.start_all()
        opened = open_standard_flows(fleet, 15000, 5500, 2000)
        require_flows(opened, 20500, fleet.flows("/stats"))
        fleet.open_group("short", "dispatch", 200, 100, 500, lifetime_ms=2000)
        time.sleep(3.0)
        before_ms = fleet.flows("/stats")["unix_ms"] - 2000
        # The update spreads while the crashes happen: the domains beyond the first see it through peers only.
        blocked = [entry.address for entry in fleet.entries if entry.domain != fleet.entries[0].domain]
        fleet.platform_faults({"blocked_clients": blocked})
        change(fleet, "drain upstream dispatch/h07")
        first = fleet.entries[1]
        second = fleet.entries[3]
        first_ms = fleet.flows("/stats")["unix_ms"]
        fleet.kill_entry(first)
        time.sleep(1.0)
        change(fleet, "set weight dispatch/h03 50")
        time.sleep(1.0)
        second_ms = fleet.flows("/stats")["unix_ms"]
        fleet.kill_entry(second)
        time.sleep(6.0)
        fleet.platform_faults({"blocked_clients": []})
        time.sleep(4.0)
        stats = fleet.flows("/stats")
        timeline = fleet.flows("/timeline")["intervals"]
        recovered_after_first = recovery_seconds(
            [item for item in timeline if item["at_ms"] < second_ms - 100], first_ms, before_ms)
        recovered_after_second = recovery_seconds(timeline, second_ms, before_ms)
        for item in fleet.flows("/broken")["broken"][:5]:
            note(f"broken: {item}")
        return {
            "open_flows": opened,
            "broken_flows": stats["broken"],
            "broken_by_cause": stats["broken_by_cause"],
            "broken_flows_share": round(stats["broken"] / max(stats["opened"], 1), 6),
            "misdelivered_packets": fleet.packets("misdelivered"),
            "recovery_s": round(max(recovered_after_first, recovered_after_second), 2),
            "recovery_after_first_s": round(recovered_after_first, 2),
            "recovery_after_second_s": round(recovered_after_second, 2),
            "fabric_removes_dead_after_s": DEAD_AFTER_MS / 1000.0,
            "longest_wait_ms": round(max(item["longest_wait_ms"] for item in timeline), 1),
            "messages": sum(group["messages"] for group in stats["groups"].values()),
        }


def imbalance(busy_by_host):
    """Largest utilisation over the mean one. Utilisation is busy slot time, so it counts true speed: work of
    one size takes less of it on a fast host."""
    utilisation = list(busy_by_host.values())
    return max(utilisation) / statistics.mean(utilisation)


def spread(seed, options):
    """New flows to hosts of differing speeds, two of which report false health and load."""
    from .hashing import baseline_shares

    work_ms = 20.0
    with Fleet(seed, flow_work_ms=work_ms, spare_hosts=0) as fleet:
        liars = [fleet.hosts[12], fleet.hosts[13]]
        for host in liars:
            host.false_health = True
        fleet.start_all()
        # Capacity: 14 hosts with 2 slots and 2.5 mean speed do 3,500 pieces of 20 ms a second.
        dispatch = [host for host in fleet.hosts if "dispatch" in host.services]
        capacity = sum(2 * host.speed for host in dispatch) * 1000.0 / work_ms
        lifetime_ms = 2000
        interval_ms = 250
        flows = int(0.5 * capacity * interval_ms / 1000.0)
        fleet.open_group("dispatch", "dispatch", flows, OPEN_RATE, interval_ms, lifetime_ms)
        fleet.wait_open(int(flows * 0.8), 10.0)
        # Estimates of speed and the slow start of 10 s settle first.
        time.sleep(16.0)
        before = {host.name: web.get(host.url("/packets")) for host in dispatch}
        measured_s = 14.0
        time.sleep(measured_s)
        after = {host.name: web.get(host.url("/packets")) for host in dispatch}
        busy = {name: (after[name]["busy_us"] - before[name]["busy_us"]) / (2e6 * measured_s)
                for name in after}
        work = {name: after[name]["data_packets"] - before[name]["data_packets"] for name in after}
        accepted = sum(after[name]["accepted"] - before[name]["accepted"] for name in after)
        stats = fleet.flows("/stats")
        if sum(work.values()) == 0:
            raise MissingPart("no work reached the hosts")
        # The plain consistent hash sends the same number of flows, chosen by flow only.
        shares = baseline_shares(seed, [host.name for host in dispatch], max(accepted, 1000))
        baseline_busy = {host.name: shares[host.name] * sum(work.values()) * work_ms / host.speed
                         for host in dispatch}
        return {
            "imbalance": round(imbalance(busy), 4),
            "imbalance_baseline": round(imbalance(baseline_busy), 4),
            "baseline": "consistent hash over the flows accepted in the measured time, same work",
            "utilisation": {name: round(value, 4) for name, value in busy.items()},
            "utilisation_mean": round(statistics.mean(busy.values()), 4),
            "speeds": {host.name: host.speed for host in dispatch},
            "false_health_hosts": [host.name for host in liars],
            "new_flows": accepted,
            "p99_ms": stats["groups"]["dispatch"]["p99_ms"],
            "broken_flows": stats["broken"],
        }


def silent_flows(seed, options):
    """A host forgets 500 open connections while new ones work."""
    with Fleet(seed, spare_hosts=0) as fleet:
        fleet.start_all()
        # Callers that wait longer than the detection takes, so that the detection and not the caller ends
        # the flow.
        fleet.open_group("dispatch", "dispatch", 10000, OPEN_RATE, 2000, answer_limit_ms=20000)
        # Callers that say nothing must not be reset.
        fleet.open_group("silent", "records", 2000, OPEN_RATE, 0)
        opened = fleet.wait_open(12000, 12.0)
        require_flows(opened, 12000, fleet.flows("/stats"))
        fleet.open_group("short", "dispatch", 200, 100, 500, lifetime_ms=2000, answer_limit_ms=20000)
        time.sleep(3.0)
        victim = max((host for host in fleet.hosts if "dispatch" in host.services),
                     key=lambda host: web.get(host.url("/packets"))["connections"])
        forgotten_ms = fleet.flows("/stats")["unix_ms"]
        forgotten = set(web.post(victim.url("/standin/forget"), {"count": 500})["forgotten"])
        note(f"{victim.name} forgot {len(forgotten)} connections")
        # A flow sends every 2 s and is found within 10 s after that.
        time.sleep(13.0)
        broken = fleet.flows("/broken")["broken"]
        resets = [item for item in broken if item["flow"] in forgotten and item["cause"] == "reset"]
        in_time = [item for item in resets if item["at_ms"] - max(forgotten_ms, item["waiting_since_ms"]) <= 10000]
        false_resets = [item for item in broken if item["flow"] not in forgotten]
        told = [item for item in broken if item["flow"] in forgotten]
        explained = 0
        examples = []
        for item in told:
            try:
                answer = fleet.query(f"why flow {item['flow']}")
            except web.CallFailed as failure:
                examples.append(str(failure))
                continue
            text = answer.get("text", "") + str(answer)
            if victim.name in text and "lost" in text:
                explained += 1
            elif len(examples) < 3:
                examples.append(text[:300])
        for text in examples[:3]:
            note(f"not explained: {text}")
        return {
            "forgotten": len(forgotten),
            "detected": len(in_time),
            "detected_share": round(len(in_time) / max(len(forgotten), 1), 4),
            "broken_by_cause": fleet.flows("/stats")["broken_by_cause"],
            "false_resets": len(false_resets),
            "explained_share": round(explained / max(len(told), 1), 4),
            "explained_asked": len(told),
            "host": victim.name,
            "misdelivered_packets": fleet.packets("misdelivered"),
        }
