"""Experiments about requests: flood-least-urgent, flood-most-urgent, at-most-once."""
import random
import signal
import threading
import time

from . import web
from .fleet import DEAD_AFTER_MS, REQUEST_SIDE, Fleet, MissingPart, note
from .measure import counter_sum

# Work at speed 1. Large enough that ten times the fleet's capacity stays a bounded load on one machine.
WORK_MS = 400.0
SLOTS = 2
DISPATCH_DEADLINE_MS = 4000
RECORDS_DEADLINE_MS = 4000


def require_request_side():
    if not REQUEST_SIDE:
        raise MissingPart("guavaramp-standin-host serves no requests yet")


def capacity(hosts):
    """Requests a second that the hosts can run."""
    return sum(SLOTS * host.speed for host in hosts) * 1000.0 / WORK_MS


def set_stream(fleet, name, service, urgency, rate, deadline_ms, **more):
    fleet.requests("/streams", {"name": name, "service": service, "class": urgency, "rate": rate,
                                "deadline_ms": deadline_ms, **more})


def window(timeline, name, from_ms, to_ms):
    """Of a time window: requests that arrived, those of them answered in time, and answers in time that came
    in the window, whenever their requests arrived."""
    totals = [0, 0, 0]
    for index, counts in enumerate(timeline["arrived_good_completed"].get(name, [])):
        at_ms = timeline["start_ms"] + index * timeline["interval_ms"]
        if from_ms <= at_ms < to_ms:
            totals = [total + count for total, count in zip(totals, counts)]
    return totals


def now_ms():
    return int(time.time() * 1000)


def flood_once(seed, shared, admission):
    """Steady dispatch, then a flood of records; returns measures of one run."""
    with Fleet(seed, shared_hosts=shared, admission=admission, request_work_ms=WORK_MS,
               spare_hosts=0) as fleet:
        fleet.start_all(flows=False, requests=True)
        dispatch_hosts = [host for host in fleet.hosts if "dispatch" in host.services]
        records_hosts = [host for host in fleet.hosts if "records" in host.services]
        fleet_capacity = capacity(fleet.hosts)
        steady = 0.4 * capacity(dispatch_hosts) * (0.5 if shared else 1.0)
        set_stream(fleet, "before", "dispatch", "urgent", steady, DISPATCH_DEADLINE_MS)
        time.sleep(2.0)
        steady_from = now_ms()
        time.sleep(5.0)
        steady_to = now_ms()
        before = fleet.requests("/stats")["streams"]["before"]
        set_stream(fleet, "before", "dispatch", "urgent", 0, DISPATCH_DEADLINE_MS)
        set_stream(fleet, "during", "dispatch", "urgent", steady, DISPATCH_DEADLINE_MS)
        set_stream(fleet, "flood", "records", "bulk", 10.0 * fleet_capacity, RECORDS_DEADLINE_MS)
        flood_from = now_ms() + 1000
        time.sleep(7.0)
        flood_to = now_ms()
        set_stream(fleet, "flood", "records", "bulk", 0, RECORDS_DEADLINE_MS)
        set_stream(fleet, "during", "dispatch", "urgent", 0, DISPATCH_DEADLINE_MS)
        time.sleep(max(DISPATCH_DEADLINE_MS, RECORDS_DEADLINE_MS) / 1000.0 + 0.5)
        stats = fleet.requests("/stats")["streams"]
        timeline = fleet.requests("/timeline")
        steady_arrived, steady_good, _ = window(timeline, "before", steady_from, steady_to)
        arrived, good, _ = window(timeline, "during", flood_from, flood_to)
        flood_arrived, _, flood_good = window(timeline, "flood", flood_from, flood_to)
        seconds = (flood_to - flood_from) / 1000.0
        note(f"admission {admission}: before {before}\nduring {stats['during']}\nflood {stats['flood']}")
        if steady_good == 0 or arrived == 0:
            raise MissingPart(f"no steady dispatch was answered: {before}")
        steady_share = steady_good / max(steady_arrived, 1)
        return {
            "dispatch_goodput_share": round((good / arrived) / steady_share, 4),
            "dispatch_p99_ratio": round(stats["during"]["p99_ms"] / max(before["p99_ms"], 0.001), 3),
            "other_goodput_share_of_capacity": round(flood_good / seconds / capacity(records_hosts), 4),
            "dispatch_p99_ms_before": before["p99_ms"],
            "dispatch_p99_ms_during": stats["during"]["p99_ms"],
            "dispatch_rate": round(steady, 1),
            "flood_rate_offered": round(flood_arrived / seconds, 1),
            "flood_not_sent": stats["flood"]["not_sent"],
            "fleet_capacity": round(fleet_capacity, 1),
            "wrong_answers": sum(item["wrong"] for item in stats.values()),
        }


def flood_least_urgent(seed, options):
    """Map downloads at ten times fleet capacity over steady dispatch, with and without admission."""
    require_request_side()
    fields = flood_once(seed, options.shared_hosts, True)
    baseline = flood_once(seed, options.shared_hosts, False)
    for name in ("dispatch_goodput_share", "dispatch_p99_ratio", "other_goodput_share_of_capacity"):
        fields[name + "_baseline"] = baseline[name]
    fields["shared_hosts"] = options.shared_hosts
    return fields


def entry_counters(fleet, name):
    return sum(counter_sum(web.get(entry.url("/v1/counters")), name) for entry in fleet.entries)


def flood_most_urgent(seed, options):
    """All marshals reconnect: ten times dispatch capacity with callers that retry, over open flows."""
    require_request_side()
    with Fleet(seed, request_work_ms=WORK_MS, spare_hosts=0) as fleet:
        fleet.start_all(requests=True)
        hosts = [host for host in fleet.hosts if "dispatch" in host.services]
        limit = capacity(hosts)
        fleet.open_group("marshals", "dispatch", 5000, 4000, 2000)
        opened = fleet.wait_open(5000, 8.0)
        retries = {"max_attempts": 4, "retry_pause_ms": 100}
        set_stream(fleet, "steady", "dispatch", "urgent", 0.4 * limit, DISPATCH_DEADLINE_MS, **retries)
        time.sleep(5.0)
        set_stream(fleet, "patient", "dispatch", "urgent", 5.0 * limit, DISPATCH_DEADLINE_MS, **retries)
        set_stream(fleet, "impatient", "dispatch", "urgent", 5.0 * limit, DISPATCH_DEADLINE_MS,
                   max_attempts=4, patience_ms=1000, obeys_retry_after=False, retry_pause_ms=50)
        # The marshals' streams reconnect as well: new flows on top of the open ones.
        fleet.open_group("reconnecting", "dispatch", 8000, 4000, 2000)
        flood_from = now_ms() + 2000
        time.sleep(9.0)
        flood_to = now_ms()
        for name in ("patient", "impatient"):
            set_stream(fleet, name, "dispatch", "urgent", 0, DISPATCH_DEADLINE_MS)
        ended_ms = now_ms()
        time.sleep(9.0)
        set_stream(fleet, "steady", "dispatch", "urgent", 0, DISPATCH_DEADLINE_MS)
        time.sleep(DISPATCH_DEADLINE_MS / 1000.0 + 0.5)
        stats = fleet.requests("/stats")
        timeline = fleet.requests("/timeline")
        flows = fleet.flows("/stats")
        seconds = (flood_to - flood_from) / 1000.0
        good = sum(window(timeline, name, flood_from, flood_to)[2] for name in ("steady", "patient", "impatient"))
        sends = entry_counters(fleet, "request_sends_total")
        ran = [web.get(host.url("/ran")) for host in hosts]
        executed = sum(item["executed"] for item in ran)
        recovery = None
        for start in range(ended_ms, ended_ms + 8000, 500):
            arrived, answered, _ = window(timeline, "steady", start, ended_ms + 8500)
            if arrived and answered >= 0.99 * arrived:
                recovery = (start - ended_ms) / 1000.0
                break
        note(f"streams: {stats['streams']}")
        if executed == 0:
            raise MissingPart("no request ran")
        attempts = sum(item["attempts"] for item in stats["streams"].values())
        sent = sum(item["arrivals"] - item["not_sent"] for item in stats["streams"].values())
        existing = [item for item in fleet.flows("/broken")["broken"] if item["opened_ms"] > 0]
        return {
            "goodput_share_of_capacity": round(good / seconds / limit, 4),
            "retry_amplification": round(sends / executed, 4),
            "retry_amplification_is": "requests sent to hosts over requests that hosts ran",
            "caller_attempts_per_request": round(attempts / max(sent, 1), 3),
            "broken_flows": len(existing),
            "flows_not_opened": flows["broken"] - len(existing),
            "open_flows": opened,
            "recovery_s": recovery,
            "capacity": round(limit, 1),
            "not_sent": sum(item["not_sent"] for item in stats["streams"].values()),
            "wrong_answers": sum(item["wrong"] for item in stats["streams"].values()),
        }


def host_ids(fleet, dead_reports):
    """How often each request id ran, over all hosts, including those read before a host was killed."""
    counts = {}
    twice = 0
    reports = list(dead_reports)
    for host in fleet.hosts:
        if host.process.running():
            reports.append(web.get(host.url("/ran?ids=1"), 20.0))
    for report in reports:
        twice += report["executed_twice"]
        for name in report["ids"]:
            counts[name] = counts.get(name, 0) + 1
    return counts, twice


def at_most_once(seed, options):
    """Non-idempotent requests with lost and late answers, impatient retries, crashes and an outage."""
    require_request_side()
    generator = random.Random(seed)
    with Fleet(seed, request_work_ms=20.0, spare_hosts=0) as fleet:
        fleet.start_all(flows=False, requests=True)
        # 14 hosts of mean speed 2.5 run 3,500 requests of 20 ms a second.
        set_stream(fleet, "orders", "dispatch", "urgent", 500, 3000, idempotent=False, max_attempts=4,
                   patience_ms=400, retry_pause_ms=20, obeys_retry_after=False)
        hosts = [host for host in fleet.hosts if "dispatch" in host.services]
        crashed_reports = []
        stopping = threading.Event()

        def disturb():
            while not stopping.wait(0.4):
                host = generator.choice(hosts[:-1])
                fault = generator.choice([{"lose_next_answers": 3}, {"truncate_next_answers": 2},
                                          {"delay_answers_ms": generator.choice([0, 0, 600])}])
                try:
                    web.post(host.url("/standin/faults"), fault)
                except web.CallFailed:
                    continue

        thread = threading.Thread(target=disturb, daemon=True)
        thread.start()
        time.sleep(5.0)
        killed = fleet.entries[1]
        fleet.kill_entry(killed)
        time.sleep(3.0)
        fleet.platform_faults({"outage": True})
        time.sleep(2.0)
        killed.process.wait(2.0)
        fleet.start_entry(killed)
        fleet.wait_entry(killed)
        fleet.add_to_fabric(killed, DEAD_AFTER_MS)
        victim = hosts[-1]
        # The record of what ran is read after the host has stopped to take work and before it is killed
        # with answers that it has not sent.
        web.post(victim.url("/standin/faults"), {"delay_answers_ms": 2000})
        time.sleep(0.5)
        web.post(victim.url("/standin/faults"), {"draining": True})
        time.sleep(0.2)
        crashed_reports.append(web.get(victim.url("/ran?ids=1"), 20.0))
        victim.process.signal(signal.SIGKILL)
        victim.process.wait(2.0)
        time.sleep(3.0)
        second = fleet.entries[4]
        second_status, _ = fleet.replace_entry(second)
        time.sleep(2.0)
        fleet.platform_faults({"outage": False})
        third = fleet.entries[7]
        fleet.kill_entry(third)
        time.sleep(5.0)
        stopping.set()
        thread.join(3.0)
        for host in hosts[:-1]:
            web.post(host.url("/standin/faults"), {"delay_answers_ms": 0, "lose_next_answers": 0,
                                                   "truncate_next_answers": 0})
        set_stream(fleet, "orders", "dispatch", "urgent", 0, 3000)
        time.sleep(5.0)
        stats = fleet.requests("/stats")["streams"]["orders"]
        counts, twice_at_one_host = host_ids(fleet, crashed_reports)
        not_run = set(fleet.requests("/ids?result=not_run")["ids"])
        sent = stats["arrivals"] - stats["not_sent"]
        note(f"orders: {stats}")
        return {
            "requests": sent,
            "run_twice": twice_at_one_host + sum(1 for count in counts.values() if count > 1),
            "told_not_run_but_ran": sum(1 for name in not_run if name in counts),
            "wrong_or_partial_answers": stats["wrong"],
            "answered_share": round(stats["answered"] / max(sent, 1), 4),
            "not_run": stats["not_run"],
            "outcome_unknown": stats["outcome_unknown"],
            "no_answer": stats["no_answer"],
            "late": stats["late"],
            "ran": len(counts),
            "planned_stop_status": second_status,
        }
