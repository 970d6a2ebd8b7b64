"""Experiments about control traffic: config, slopes."""
import random
import signal
import statistics
import threading
import time

from . import web
from .fleet import PLATFORM, Fleet, MissingPart, note
from .measure import counter_sum, resident_bytes, thread_cpu_seconds

DAEMON_COUNTS = [9, 27, 81]
OUTAGE_S = 20.0
# Longer than the bound of 4 s; a change that takes longer is reported with this time.
IN_FORCE_LIMIT_S = 5.0


def revision_of(entry):
    """The configuration revision in force at an entry VM, or None without an answer."""
    try:
        return web.get(entry.url("/v1/counters"), 1.0).get("config_revision")
    except (web.CallFailed, ValueError):
        return None


class RevisionWatch:
    """Polls all entry VMs and counts revisions that go back within the life of one process."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.reverts = 0
        self.seen = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.stopping.wait(0.2):
            for entry in list(self.fleet.entries):
                if entry.process is None:
                    continue
                pid = entry.process.pid
                revision = revision_of(entry)
                if revision is None or pid != entry.process.pid:
                    continue
                if revision < self.seen.get(pid, 0):
                    self.reverts += 1
                self.seen[pid] = revision

    def stop(self):
        self.stopping.set()
        self.thread.join(5.0)


class Changes:
    """Runs changes and remembers what was accepted, to compare with the final configuration."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.in_force_s = []
        self.late = []
        self.accepted = []  # (check of the final configuration, command)
        self.refused = 0
        self.lock = threading.Lock()

    def run(self, command, holds, entry=None, timeout_s=8.0):
        """Returns the revision of an accepted change, or None."""
        try:
            answer = self.fleet.query(command, entry, timeout_s)
        except web.CallFailed as failure:
            with self.lock:
                self.refused += 1
            note(f"refused: {command}: {failure}")
            return None
        rows = answer.get("rows") or [[]]
        if answer.get("outcome") != "ok" or rows[0][:1] != ["accepted"]:
            with self.lock:
                self.refused += 1
            return None
        with self.lock:
            self.accepted.append((holds, command))
        return int(rows[0][1])

    def measure(self, revision, entries, since=None):
        """Waits until `entries` have the revision in force and records the time since `since`."""
        began = since or time.monotonic()
        waiting = list(entries)
        while waiting and time.monotonic() - began < IN_FORCE_LIMIT_S:
            waiting = [entry for entry in waiting if (revision_of(entry) or 0) < revision]
            if waiting:
                time.sleep(0.05)
        elapsed = time.monotonic() - began
        self.in_force_s.append(elapsed)
        if waiting:
            self.late.append([entry.address for entry in waiting])
        note(f"revision {revision} in force at {len(entries)} entry VMs after {elapsed:.2f} s")
        return elapsed

    def lost(self):
        """Accepted changes that the platform's final configuration does not show."""
        final = stored_configuration()
        return [command for holds, command in self.accepted if not holds(final)]


def stored_configuration():
    """Services by name, as the platform stores them."""
    import json
    head = json.loads(web.get(f"http://{PLATFORM}/v1/kv/guavaramp/head")["value"])
    services = {}
    for name, item in head["services"].items():
        stored = web.get(f"http://{PLATFORM}/v1/kv/guavaramp/services/{name}/{item['revision']}")
        services[name] = json.loads(stored["value"])
    return services


def has_upstream(service, name, address):
    def holds(services):
        return any(item["name"] == name and item["packet_address"] == f"{address}:6080"
                   for item in services[service]["upstreams"])
    return holds


def run_races(fleet, changes, generator, rounds):
    """Two operators add the same upstream with different addresses at once; returns how often both were
    accepted."""
    both = 0
    for number in range(rounds):
        results = [None, None]
        entries = generator.sample(fleet.entries, 2)

        def operator(index, number=number, entries=entries, results=results):
            address = f"127.20.{1 + index}.{number + 1}"
            results[index] = changes.run(f"add upstream dispatch/r{number:02d} address {address}",
                                         has_upstream("dispatch", f"r{number:02d}", address), entries[index])

        threads = [threading.Thread(target=operator, args=(index,)) for index in (0, 1)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        both += all(results)
    return both


def run_lost_answers(fleet, changes, rounds):
    """The answer to a write that took effect is lost. Returns the number of changes not accepted."""
    before = changes.refused
    for number in range(rounds):
        fleet.platform_faults({"lose_next_answers": 1})
        name, address = f"q{number:02d}", f"127.20.3.{number + 1}"
        changes.run(f"add upstream dispatch/{name} address {address}",
                    has_upstream("dispatch", name, address))
    return changes.refused - before


def calls_per_second(fleet, seconds):
    before, _ = fleet.platform_calls()
    time.sleep(seconds)
    after, watches = fleet.platform_calls()
    return round((after - before) / seconds, 2), watches


def lease_holder(fleet):
    """The address of an entry VM that holds a lease, when the platform shows one."""
    keys = web.get(f"http://{PLATFORM}/v1/list?prefix=guavaramp%2F")["keys"]
    for item in keys:
        if "/leases/" in item["key"]:
            value = web.get(f"http://{PLATFORM}/v1/kv/{item['key']}")["value"]
            for entry in fleet.entries:
                if entry.address in value:
                    return entry
    return None


def config(seed, options):
    """Races, lost answers, a paused lease holder, a domain cut off, an outage of 20 s, up to 81 daemons."""
    generator = random.Random(seed)
    with Fleet(seed) as fleet:
        fleet.start_platform()
        fleet.start_entries()
        fleet.wait_until(lambda: all((revision_of(entry) or 0) >= 1 for entry in fleet.entries),
                         "the configuration")
        watch = RevisionWatch(fleet)
        changes = Changes(fleet)
        time.sleep(1.0)
        calls_at, watches_at = {}, {}
        calls_at["9"], watches_at["9"] = calls_per_second(fleet, 5.0)
        both_accepted = run_races(fleet, changes, generator, 6)
        lost_answers_refused = run_lost_answers(fleet, changes, 2)

        # A failure domain is cut off from peers and platform; a holder (or any entry VM) is paused.
        cut = [entry for entry in fleet.entries if entry.domain == "cam-le"]
        rest = [entry for entry in fleet.entries if entry not in cut]
        holder = lease_holder(fleet)
        paused = holder if holder in rest else rest[-1]
        reachable = [entry for entry in rest if entry is not paused]
        for entry in cut:
            fleet.block_peers(entry, [other.address for other in rest])
        for entry in rest:
            fleet.block_peers(entry, [other.address for other in cut])
        fleet.platform_faults({"blocked_clients": [entry.address for entry in cut]})
        paused.process.signal(signal.SIGSTOP)
        time.sleep(0.5)
        revision = changes.run("add upstream dispatch/s01 address 127.20.4.1",
                               has_upstream("dispatch", "s01", "127.20.4.1"), reachable[0], 12.0)
        if revision is None:
            raise MissingPart("a change was refused while a failure domain was cut off")
        changes.measure(revision, reachable)
        time.sleep(3.0)

        fleet.platform_faults({"outage": True})
        outage_began = time.monotonic()
        paused.process.signal(signal.SIGCONT)
        changes.measure(revision, [paused])
        for entry in fleet.entries:
            fleet.block_peers(entry, [])
        changes.measure(revision, cut)
        refused_before = changes.refused
        changes.run("add upstream dispatch/s02 address 127.20.4.2",
                    has_upstream("dispatch", "s02", "127.20.4.2"))
        refused_in_outage = changes.refused - refused_before
        # Daemons that start in the outage learn the configuration from peers.
        fresh = fleet.add_entries(27)
        changes.measure(revision, fresh)
        time.sleep(max(0.0, OUTAGE_S - (time.monotonic() - outage_began)))
        fleet.platform_faults({"outage": False, "blocked_clients": []})
        revision = changes.run("add upstream dispatch/s03 address 127.20.4.3",
                               has_upstream("dispatch", "s03", "127.20.4.3"))
        if revision is None:
            raise MissingPart("a change was refused after the outage")
        changes.measure(revision, fleet.entries)
        # The calls that the end of the outage brings are over by then.
        time.sleep(2.0)
        calls_at["27"], watches_at["27"] = calls_per_second(fleet, 4.0)
        fleet.add_entries(81)
        time.sleep(1.0)
        calls_at["81"], watches_at["81"] = calls_per_second(fleet, 4.0)
        revision = changes.run("add upstream dispatch/s04 address 127.20.4.4",
                               has_upstream("dispatch", "s04", "127.20.4.4"))
        if revision is None:
            raise MissingPart("a change was refused with 81 daemons")
        changes.measure(revision, fleet.entries)
        watch.stop()
        lost = changes.lost()
        for command in lost:
            note(f"accepted, then lost: {command}")
        for addresses in changes.late:
            note(f"not in force in time: {addresses}")
        return {
            "in_force_s_max": round(max(changes.in_force_s), 2),
            "in_force_s": [round(value, 2) for value in changes.in_force_s],
            "reverts": watch.reverts,
            "accepted": len(changes.accepted),
            "accepted_then_lost": len(lost),
            "races": 6,
            "races_both_accepted": both_accepted,
            "lost_answers_refused": lost_answers_refused,
            "changes_refused_in_outage": refused_in_outage,
            "lease_holder_paused": holder.address if holder else None,
            "platform_calls_per_second": calls_at["9"],
            "platform_calls_per_second_at": calls_at,
            "watches_waiting_at": watches_at,
        }


def control_threads_cpu(threads_before, threads_after):
    """CPU seconds of the threads named after control duties, or None when threads have no names."""
    named = [key for key in threads_after if "control" in key[0]]
    if not named:
        return None
    return sum(threads_after[key] - threads_before.get(key, 0.0) for key in named)


def measure_point(fleet, changes, seconds, change_count=0):
    """One point of the slopes: medians over daemons in a window of `seconds`."""
    entries = list(fleet.entries)
    bytes_before = {entry.address: web.get(entry.url("/v1/counters")) for entry in entries}
    cpu_before = {entry.address: thread_cpu_seconds(entry.process.pid) for entry in entries}
    calls_before, _ = fleet.platform_calls()
    began = time.monotonic()
    for index in range(change_count):
        changes.run(f"set weight dispatch/h03 {101 + index}", lambda services: True)
        time.sleep(seconds / change_count)
    time.sleep(max(0.0, seconds - (time.monotonic() - began)))
    cpu_after = {entry.address: thread_cpu_seconds(entry.process.pid) for entry in entries}
    elapsed = time.monotonic() - began
    calls_after, _ = fleet.platform_calls()
    rates = []
    flows = []
    for entry in entries:
        counters = web.get(entry.url("/v1/counters"))
        rates.append((counter_sum(counters, "control_bytes_total") -
                      counter_sum(bytes_before[entry.address], "control_bytes_total")) / elapsed)
        flows.append(counters.get("flows_open", 0))
    control_cpu = [control_threads_cpu(cpu_before[address], cpu_after[address]) for address in cpu_before]
    total_cpu = [sum(cpu_after[address].values()) - sum(cpu_before[address].values())
                 for address in cpu_before]
    memory = [resident_bytes(entry.process.pid) for entry in entries]
    # A weight that differs from the one of the point before; an unchanged one is refused.
    weight = 120 + len(changes.accepted)
    revision = changes.run(f"set weight dispatch/h05 {weight}", lambda services: True)
    in_force = changes.measure(revision, entries) if revision else None
    return {
        "daemons": len(entries),
        "changes_per_minute": round(change_count * 60.0 / elapsed, 1),
        "flow_table_entries_per_daemon": statistics.median(flows),
        "control_bytes_per_second": round(statistics.median(rates), 1),
        "control_bytes_per_second_worst": round(max(rates), 1),
        "control_thread_cpu_s_per_s": None if None in control_cpu else round(
            statistics.median(control_cpu) / elapsed, 5),
        "process_cpu_s_per_s": round(statistics.median(total_cpu) / elapsed, 5),
        "resident_bytes": int(statistics.median(memory)),
        "platform_calls_per_second": round((calls_after - calls_before) / elapsed, 2),
        "in_force_s": None if in_force is None else round(in_force, 3),
    }


def slopes(seed, options):
    """Control cost of a daemon against daemons, changes a minute and flows."""
    window_s = 4.0
    flow_counts = [10000, 100000]
    with Fleet(seed, max_connections=200000, spare_hosts=0) as fleet:
        fleet.start_all()
        changes = Changes(fleet)
        time.sleep(1.5)
        by_daemons = [measure_point(fleet, changes, window_s)]
        by_changes = [by_daemons[0], measure_point(fleet, changes, window_s, change_count=3)]
        by_flows = []
        for count in flow_counts:
            # Flows are opened and then silent, so that only the cost of holding them is measured.
            fleet.open_group("dispatch", "dispatch", count, 12000, 0)
            opened = fleet.wait_open(count, 3.0 + count / 7000)
            time.sleep(0.5)
            point = measure_point(fleet, changes, window_s)
            point["flows"] = opened
            by_flows.append(point)
        for count in DAEMON_COUNTS[1:]:
            fleet.add_entries(count)
            time.sleep(2.0)
            by_daemons.append(measure_point(fleet, changes, window_s))
        return {
            "by_daemons": by_daemons,
            "by_changes": by_changes,
            "by_flows": by_flows,
            "window_s": window_s,
            "control_thread_cpu": "null: the daemon's threads have no names; process_cpu_s_per_s without "
                                  "flow traffic is an upper bound",
            "not_run": "500,000 flows do not open within 50 s; the points with 27 and 81 daemons hold the "
                       "flows of the last flow point",
        }
