"""Capacity at the design size: measurement of configuration size, fits, plots and the page."""
import json
import math
import os
import signal
import subprocess
import time

from . import web
from .fleet import Fleet, lock_addresses
from .measure import resident_bytes

DAEMONS = 530
HOSTS = 5800
SERVICES = 1600
OPEN_FLOWS = 3.3e6
NEW_FLOWS_PER_S = 45000
CHANGES_PER_DAY = 1200
DAY_S = 86400.0
BUDGET_BYTES_PER_S = 19000
BUDGET_CPU = 0.046
BUDGET_MEMORY = 64e6
DOMAINS = 4
RELAY_HEADER = 68  # bytes: GUE base header and relay header


class SizedFleet(Fleet):
    """Two entry VMs with a configuration of a given size; no hosts run."""

    def __init__(self, services, hosts):
        super().__init__(1, entries_by_domain=[2])
        self.sizes = (services, hosts)

    def wait_until(self, condition, what, timeout_s=60.0):
        # Without peers the largest configuration is read value by value within the platform call budget.
        super().wait_until(condition, what, timeout_s)

    def configuration(self):
        services, hosts = self.sizes
        values = {}
        for number in range(services):
            upstreams = []
            for host in range(number, hosts, services):
                address = f"127.21.{host // 250}.{host % 250 + 1}"
                upstreams.append({"id": host + 1, "name": f"h{host}", "packet_address": f"{address}:6080",
                                  "request_address": f"{address}:8080", "failure_domain": "hai-chau",
                                  "weight": 100, "state": "active"})
            values[f"service-{number}"] = {
                "id": number + 1, "name": f"service-{number}", "protocol": "tcp", "class": "normal",
                "address": f"10.{9 + number // 250}.{number % 250}.1:443", "revision": 1,
                "change_id": "start", "upstreams": upstreams}
        head = {"revision": 1, "next_service_id": services + 1, "next_upstream_id": hosts + 1,
                "services": {name: {"id": item["id"], "revision": 1} for name, item in values.items()}}
        return {"head": head, "services": values}


def measure_point(services, hosts):
    with SizedFleet(services, hosts) as fleet:
        fleet.start_platform()
        began = time.monotonic()
        fleet.start_entries()
        first_s = time.monotonic() - began
        # Started again, the second entry VM gets the configuration from the first one.
        fleet.entries[1].process.signal(signal.SIGKILL)
        fleet.entries[1].process.wait(5.0)
        began = time.monotonic()
        fleet.start_entry(fleet.entries[1])
        fleet.wait_entry(fleet.entries[1])
        from_peer_s = time.monotonic() - began
        time.sleep(1.0)
        calls = web.get("http://127.40.0.1:6090/standin/calls")
        return {"services": services, "hosts": hosts,
                "json_bytes": len(json.dumps(fleet.configuration(), separators=(",", ":"))),
                "head_json_bytes": len(json.dumps(fleet.configuration()["head"], separators=(",", ":"))),
                "resident_bytes": max(resident_bytes(entry.process.pid) for entry in fleet.entries),
                "start_from_platform_s": round(first_s, 2), "start_from_peer_s": round(from_peer_s, 2),
                "platform_calls": calls}


def measure_configuration(root):
    lock = lock_addresses()
    points = [measure_point(services, hosts) for services, hosts in ((2, 18), (400, 1450), (SERVICES, HOSTS))]
    lock.close()
    commit = subprocess.run(["git", "rev-parse", "HEAD"], cwd=root, capture_output=True, text=True, check=True)
    data = {"command": "scripts/capacity measure", "commit": commit.stdout.strip(), "points": points}
    with open(os.path.join(root, "docs/capacity/configuration.json"), "w") as file:
        json.dump(data, file, indent=1)
        file.write("\n")
    print(json.dumps(data))


def fit_line(points):
    """Least squares a + b x over (x, y) pairs."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def load(root, name):
    with open(os.path.join(root, "docs/capacity", name)) as file:
        return json.load(file)


def plot(root, name, title, xlabel, ylabel, points, design, logarithmic=False):
    """Draws measured points, the fit and the design size."""
    shape = (lambda x: math.log(x)) if logarithmic else (lambda x: x)
    start, slope = fit_line([(shape(x), y) for x, y in points])
    # Noise can make a flat slope negative; the design size never counts less than the largest measurement.
    value = max(start + slope * shape(design), max(y for _, y in points))
    data = "\n".join(f"{x} {y}" for x, y in points)
    formula = f"{start} + {slope} * {'log(x)' if logarithmic else 'x'}"
    low = min(x for x, _ in points)
    script = f"""set terminal svg size 640,400
set output '{os.path.join(root, 'docs/capacity', name + '.svg')}'
set title '{title}'
set xlabel '{xlabel}'
set ylabel '{ylabel}'
set logscale x
set yrange [0:*]
set xrange [{max(low * 0.8, 1)}:{design * 1.25}]
set key left top
$points << EOD
{data}
EOD
$design << EOD
{design} {value}
EOD
plot $points with points pt 7 title 'measured', {formula} with lines title 'fit', \\
    $design with points pt 4 ps 2 title 'design size'
"""
    subprocess.run(["gnuplot"], input=script, text=True, check=True)
    return start, slope, value


def kilobytes(value):
    return f"{value / 1000:.1f} KB"


def megabytes(value):
    return f"{value / 1e6:.1f} MB"


def percent(value):
    return f"{100 * value:.2f}%"


def write_page(root):
    slopes = load(root, "slopes.json")
    configuration = load(root, "configuration.json")
    fleets = [load(root, f"fleet-{count}.json") for count in (9, 27, 81)]
    settled = [(item["daemons"], item["control_bytes_per_second_per_daemon"]) for item in fleets]
    calls = [(item["daemons"], item["platform_calls_per_second"]) for item in fleets]
    started = [(item["daemons"], item["control_bytes_per_second"]) for item in slopes["by_daemons"]]
    cpu_field = "control_thread_cpu_s_per_s"
    cpu = [(item["daemons"], item[cpu_field]) for item in slopes["by_daemons"]]
    force = [(item["daemons"], round(max(item["change_in_force_s"]), 3)) for item in fleets]
    by_changes = slopes["by_changes"]
    change_slope = (by_changes[1]["control_bytes_per_second"] - by_changes[0]["control_bytes_per_second"]) / \
        by_changes[1]["changes_per_minute"]
    change_cpu = (by_changes[1][cpu_field] - by_changes[0][cpu_field]) / by_changes[1]["changes_per_minute"]
    flows = [(item["flows"], item["control_bytes_per_second"]) for item in slopes["by_flows"]]
    memory = [(item["hosts"], item["resident_bytes"]) for item in configuration["points"]]

    settled_fit = plot(root, "control-bytes", "Control bytes per daemon, settled", "daemons", "bytes a second",
                       settled, DAEMONS, logarithmic=True)
    started_fit = plot(root, "control-bytes-start", "Control bytes per daemon in the seconds after a start of all",
                       "daemons", "bytes a second", started, DAEMONS, logarithmic=True)
    cpu_fit = plot(root, "control-cpu", "CPU of the control threads per daemon", "daemons", "share of a core",
                   cpu, DAEMONS)
    force_fit = plot(root, "in-force", "Time until a change is in force", "daemons", "seconds", force, DAEMONS,
                     logarithmic=True)
    memory_fit = plot(root, "configuration-memory", "Resident memory against hosts in the configuration", "hosts",
                      "bytes", memory, HOSTS)
    calls_fit = plot(root, "platform-calls", "Calls to the platform by the whole fleet", "daemons",
                     "calls a second", calls, DAEMONS, logarithmic=True)
    flow_fit = plot(root, "flows", "Control bytes per daemon against open flows of the fleet", "open flows",
                    "bytes a second", flows, OPEN_FLOWS)

    changes_per_minute = CHANGES_PER_DAY / 1440.0
    change_bytes = change_slope * changes_per_minute
    owned = OPEN_FLOWS / DAEMONS
    relays = 2 * NEW_FLOWS_PER_S / DAEMONS
    big = configuration["points"][-1]
    small = configuration["points"][0]
    control_total = settled_fit[2] + change_bytes
    control_cpu = cpu_fit[2] + change_cpu * changes_per_minute
    control_memory = memory_fit[2]
    source = {name: f"`{data['command'] if 'command' in data else 'scripts/experiment slopes --seed 1'}`, "
              f"commit {data['commit'][:10]}"
              for name, data in (("slopes", slopes), ("configuration", configuration), ("fleet", fleets[0]))}

    text = f"""# Capacity of guavaramp-entry at the design size

Design size: {DAEMONS} daemons, {HOSTS:,} hosts, {SERVICES:,} service addresses, {OPEN_FLOWS / 1e6:.1f} million open flows, {NEW_FLOWS_PER_S:,} new flows a second, {CHANGES_PER_DAY:,} changes a day, 2 regions with {DOMAINS} failure domains. Budget per daemon for control: 4.6% of a core, 64 MB, 19 KB a second. The daemon is `guavaramp-entry`; `guavaramp-director` has [a page of its own](../CAPACITY.md).

This page is written by `scripts/capacity page` from the data in `docs/capacity`; edit the script, not the page. All figures are from one shared machine with 10 noisy cores, real daemons on loopback, up to 81 of them. Everything beyond 81 daemons is extrapolated by the fit that is named; where noise gives a negative slope, the largest measurement is taken. CPU is read in ticks of 10 ms over 4 s, so one step is 0.25% of a core. The two points against open flows differ by noise, and their fit is an upper bound.

## Summary

| per daemon | at the design size | budget | margin |
| --- | --- | --- | --- |
| control bytes a second, settled | {kilobytes(control_total)} | 19 KB | {BUDGET_BYTES_PER_S / control_total:.0f} times |
| control bytes a second after a start of all daemons at once | {kilobytes(started_fit[2])} | 19 KB | {BUDGET_BYTES_PER_S / started_fit[2]:.1f} times |
| control CPU | {percent(control_cpu)} of a core | 4.6% | {BUDGET_CPU / control_cpu:.1f} times |
| resident memory without flow table | {megabytes(control_memory)} | 64 MB | {BUDGET_MEMORY / control_memory:.1f} times |
| time until a change is in force | {force_fit[2]:.2f} s | 4 s | {4 / force_fit[2]:.0f} times |
| platform calls of the whole fleet | {calls_fit[2]:.1f} a second | 2,000 reads, several hundred writes | |

## Slopes

| slope | measured | fit | at the design size | source |
| --- | --- | --- | --- | --- |
| [control bytes against daemons, settled](control-bytes.svg) | {settled} | {settled_fit[0]:.1f} + {settled_fit[1]:.1f} ln n | {settled_fit[2]:.0f} B/s | {source['fleet']} (and `--count 27`, `--count 81`) |
| [control bytes against daemons, 2 to 6 s after the start](control-bytes-start.svg) | {started} | {started_fit[0]:.1f} + {started_fit[1]:.1f} ln n | {started_fit[2]:.0f} B/s | {source['slopes']} |
| [CPU of the control threads against daemons](control-cpu.svg) | {cpu} | {cpu_fit[0]:.5f} + {cpu_fit[1]:.2e} n | {percent(cpu_fit[2])} | {source['slopes']} |
| control bytes against changes | {by_changes[0]['control_bytes_per_second']} B/s at 0, {by_changes[1]['control_bytes_per_second']} at {by_changes[1]['changes_per_minute']} a minute (9 daemons) | {change_slope:.1f} B/s for each change a minute | {change_bytes:.0f} B/s at {changes_per_minute:.2f} a minute | {source['slopes']} |
| [control bytes against open flows](flows.svg) | {flows} | {flow_fit[0]:.1f} + {flow_fit[1]:.2e} f | {flow_fit[2]:.0f} B/s | {source['slopes']} |
| [resident memory against hosts in the configuration](configuration-memory.svg) | {[(hosts, megabytes(value)) for hosts, value in memory]} | {megabytes(memory_fit[0])} + {memory_fit[1]:.0f} bytes a host (with its share of services) | {megabytes(memory_fit[2])} | {source['configuration']} |
| [time until in force against daemons](in-force.svg) | {force} | {force_fit[0]:.3f} + {force_fit[1]:.3f} ln n | {force_fit[2]:.2f} s | {source['fleet']} |
| [platform calls against daemons](platform-calls.svg) | {calls} | {calls_fit[0]:.2f} + {calls_fit[1]:.2f} ln n | {calls_fit[2]:.1f} a second | {source['fleet']} |

{slopes['not_run']}.

## Roles

**Steering.** State: {owned:,.0f} owned flows a daemon and a cache of flows learned from owners, in one table of fixed size (setting `max_flows`, about 62 bytes a flow, 65 MB at the default of 1,048,576; this is data-path memory, allocated once and touched at random, so it becomes resident with the first tens of thousands of flows: {megabytes(slopes['by_flows'][-1]['resident_bytes'])} for the whole process at {slopes['by_flows'][-1]['flow_table_entries_per_daemon']:,.0f} entries). Messages: no control message per flow; each new flow is relayed to its owner and back, {relays:.0f} relays a second at {RELAY_HEADER} bytes of header each = {kilobytes(relays * RELAY_HEADER)} a second on the data path, plus one relay for each entry VM that sees the flow for the first time. Mechanism: owners by rendezvous hashing, packets that return with their upstream, probes to the hosts.

**Membership.** State: about 200 bytes for each of {DAEMONS} members. Messages: one ping and one answer per period whatever the size of the fleet, news piggybacked; {settled_fit[2]:.0f} B/s. On an ordinary day 18 failures and 410 restarts are about 900 updates, each carried a few times ln n: less than 20 B/s on average. Mechanism: SWIM with bounded piggybacking.

**Configuration.** State: {big['json_bytes'] / 1e6:.2f} MB as JSON for {big['services']:,} services and {big['hosts']:,} hosts, {megabytes(big['resident_bytes'] - small['resident_bytes'])} resident beyond the smallest configuration. The head value is {kilobytes(big['head_json_bytes'])}, below the platform's limit of 1 MB. Messages: a push of the revision and a pull of the changed service. Start: {big['start_from_platform_s']} s when two daemons start together with the platform only, {big['start_from_peer_s']} s from a peer. Mechanism: watch, push, repair by pings, delta pulls.

**Platform watchers.** 2 watches a failure domain, {2 * DOMAINS} in all; {calls_fit[2]:.1f} calls a second at the design size. A change costs 2 writes and some reads; {CHANGES_PER_DAY} a day are {CHANGES_PER_DAY * 2 / DAY_S:.3f} writes a second. The first daemon of a fleet that starts without any peer reads each service value, {SERVICES:,} reads, which is most of a second of the platform's 2,000; everybody else asks peers.

**History.** {NEW_FLOWS_PER_S / DAEMONS:.0f} ended flows a second and daemon at 64 bytes = {NEW_FLOWS_PER_S / DAEMONS * 64 * 3600 / 1e6:.0f} MB an hour; the ring is bounded, so the reach of an answer shrinks with the rate. Broken flows are kept apart.

**Operators.** A question about a flow asks all entry VMs in fleets of up to 33, and 3 per failure domain plus the owners above that. A change accepted by one daemon makes it collect the revisions of all live members: {DAEMONS} pings and answers of about 100 bytes within 1.4 s, {kilobytes(DAEMONS * 200)} in one burst, sent and received.

**Requests.** State: an entry per request id until 10 minutes after its deadline. The design size names no request rate; see `docs/operations/floods.md` for limits.

## Failures

| event | while it lasts | when it returns |
| --- | --- | --- |
| rack of 40 daemons | 40 updates, piggybacked; their flows are resolved by next owners on the data path, {40 * owned:,.0f} flows | 40 pulls of {big['json_bytes'] / 1e6:.2f} MB from random peers; no platform reads beyond the VM list |
| failure domain ({DAEMONS // DOMAINS} daemons) | {DAEMONS // DOMAINS} updates; its flows reach other domains, whose owners probe {HOSTS / SERVICES:.1f} hosts a flow, at most 2,000 flows in progress a daemon | {DAEMONS // DOMAINS} pulls, {DAEMONS // DOMAINS * big['json_bytes'] / 1e6:.0f} MB spread over the fleet |
| regions apart for an hour | each side declares the other dead and goes on; at most {CHANGES_PER_DAY / 24:.0f} changes are missed | one delta of at most {CHANGES_PER_DAY / 24:.0f} services a daemon |

## Where the budget breaks first

1. **The second of a configuration pull.** A daemon that serves a full configuration sends {big['json_bytes'] / 1e6:.2f} MB, which is {big['json_bytes'] / BUDGET_BYTES_PER_S:.0f} seconds of its 19 KB/s. 410 restarts a day are {410 * big['json_bytes'] / DAEMONS / DAY_S:.1f} B/s on average, but not in that second. Weighed: compression (the JSON is repetitive), pulls paced over several peers. Not built.
2. **Collecting revisions after a change**, {kilobytes(DAEMONS * 200)} in one burst at the accepting daemon. Weighed: summaries per failure domain. Not built.
3. **Relays for short flows.** When every packet of a flow reaches another entry VM, each is relayed once: the data path carries up to twice the packets. Direct use of the first candidate for flows without exceptions was weighed in `docs/decisions/flow-owner.md`.
"""
    with open(os.path.join(root, "docs/capacity/guavaramp-entry.md"), "w") as file:
        file.write(text)
