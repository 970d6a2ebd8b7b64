"""Starts the processes of an experiment on loopback and ends them by their ids."""
import fcntl
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

from . import web

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.path.join(os.environ.get("GUAVARAMP_BUILD", os.path.join(ROOT, "build")), "bin")

DOMAINS = ["hai-chau", "son-tra", "lien-chieu", "cam-le"]
ENTRIES_BY_DOMAIN = [3, 2, 2, 2]
SERVICES = {"dispatch": "10.9.0.1:443", "records": "10.9.0.2:443"}
CLASSES = {"dispatch": "urgent", "records": "bulk"}
PLATFORM = "127.40.0.1:6090"
FABRIC = "127.30.0.1:6080"
FLOW_CONTROL = "127.30.0.1:6090"
REQUEST_CONTROL = "127.30.0.1:6091"
OPERATOR_KEY = "experiment operator key"
FLEET_KEY = "experiment fleet key, not a secret"
START_TIMEOUT_S = 8.0
# A planned stop takes at most 10 s in the daemon.
STOP_TIMEOUT_S = 12.0
# The fabric learns of a planned leave within this time, and of a dead entry VM within DEAD_AFTER_MS.
LEAVE_AFTER_MS = 200
DEAD_AFTER_MS = 1000


class MissingPart(Exception):
    """The experiment cannot run because a part of the system is not there."""


def speeds(count):
    """Host speeds from 4 to 1 in even steps."""
    return [round(4.0 - 3.0 * index / max(count - 1, 1), 3) for index in range(count)]


class Process:
    def __init__(self, name, arguments, log_directory):
        path = os.path.join(BIN, arguments[0])
        if not os.path.exists(path):
            raise MissingPart(f"{arguments[0]} is not built")
        self.name = name
        self.log_path = os.path.join(log_directory, name + ".log")
        self.log = open(self.log_path, "ab")
        self.child = subprocess.Popen([path] + arguments[1:], stdout=self.log, stderr=self.log,
                                      stdin=subprocess.DEVNULL)
        self.pid = self.child.pid

    def running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def wait(self, timeout_s):
        """Returns the exit status, or None when it still runs."""
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def log_end(self):
        with open(self.log_path, errors="replace") as log:
            return log.read()[-600:]


class Host:
    def __init__(self, name, number, speed, service_names, work_ms):
        self.name = name
        self.address = f"127.20.0.{number}"
        self.speed = speed
        self.services = service_names
        self.work_ms = work_ms
        self.false_health = False
        self.process = None
        self.domain = DOMAINS[(number - 1) % len(DOMAINS)]

    def url(self, path):
        return f"http://{self.address}:8080{path}"

    def request_port(self, service):
        return 8080 + self.services.index(service)


class Entry:
    def __init__(self, domain_index, number):
        self.address = f"127.10.{domain_index + 1}.{number}"
        self.domain = DOMAINS[domain_index]
        self.process = None

    def packet_endpoint(self):
        return f"{self.address}:6080"

    def url(self, path):
        return f"http://{self.address}:6083{path}"


class Fleet:
    """The standard set-up of docs/design.md section 1.3. A context manager: leaving it ends all processes."""

    def __init__(self, seed, entries_by_domain=None, dispatch_hosts=14, records_hosts=4, shared_hosts=False,
                 flow_work_ms=0.0, request_work_ms=100.0, admission=True, max_connections=2000,
                 spare_hosts=1, max_flows=1 << 20):
        self.seed = seed
        self.admission = admission
        self.max_flows = max_flows
        self.flow_work_ms = flow_work_ms
        self.request_work_ms = request_work_ms
        self.max_connections = max_connections
        self.directory = tempfile.mkdtemp(prefix="guavaramp-experiment-")
        self.started = []
        self.platform = None
        self.flow_load = None
        self.request_load = None
        self.entries = [Entry(index, number + 1)
                        for index, count in enumerate(entries_by_domain or ENTRIES_BY_DOMAIN)
                        for number in range(count)]
        self.hosts = self._plan_hosts(dispatch_hosts, records_hosts, shared_hosts, spare_hosts)

    def _plan_hosts(self, dispatch_hosts, records_hosts, shared_hosts, spare_hosts):
        hosts = []
        total = dispatch_hosts + records_hosts
        values = speeds(total) if shared_hosts else speeds(dispatch_hosts) + speeds(records_hosts)
        for index in range(total + spare_hosts):
            spare = index >= total
            if shared_hosts and not spare:
                names = ["dispatch", "records"]
            else:
                names = ["dispatch"] if index < dispatch_hosts or spare else ["records"]
            host = Host(f"h{index + 1:02d}", index + 1, 2.5 if spare else values[index], names,
                        self.flow_work_ms)
            host.spare = spare
            hosts.append(host)
        return hosts

    # Start and end

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.end()
        return False

    def start_process(self, name, arguments):
        process = Process(name, arguments, self.directory)
        self.started.append(process)
        return process

    def end(self):
        """Ends every process that was started, by its id, and waits for it."""
        for process in reversed(self.started):
            if process.running():
                process.signal(signal.SIGKILL)
        for process in self.started:
            process.wait(5.0)
            process.log.close()

    def write(self, name, value):
        path = os.path.join(self.directory, name)
        with open(path, "w") as file:
            if isinstance(value, str):
                file.write(value)
            else:
                json.dump(value, file)
        return path

    def configuration(self):
        """The configuration at the start, in the form of libs/config."""
        services = {}
        upstream_id = 1
        for index, (name, address) in enumerate(SERVICES.items()):
            upstreams = []
            for host in self.hosts:
                if name not in host.services or host.spare:
                    continue
                upstreams.append({"id": upstream_id, "name": host.name,
                                  "packet_address": f"{host.address}:6080",
                                  "request_address": f"{host.address}:{host.request_port(name)}",
                                  "failure_domain": host.domain, "weight": 100, "state": "active"})
                upstream_id += 1
            services[name] = {"id": index + 1, "name": name, "address": address, "protocol": "tcp",
                              "class": CLASSES[name], "revision": 1, "change_id": "start",
                              "upstreams": upstreams}
        head = {"revision": 1, "next_service_id": len(services) + 1, "next_upstream_id": upstream_id,
                "services": {name: {"id": item["id"], "revision": 1} for name, item in services.items()}}
        return {"head": head, "services": services}

    def start_platform(self):
        config = self.write("config.json", self.configuration())
        vms = self.write("vms.json", [{"address": entry.address, "failure_domain": entry.domain,
                                       "region": "default", "leaving": False} for entry in self.entries])
        self.platform = self.start_process("platform", [
            "guavaramp-standin-platform", "--listen", PLATFORM, "--config", config, "--vms", vms,
            "--seed", str(self.seed)])
        self.wait_until(lambda: self.answers(f"http://{PLATFORM}/standin/calls"), "the platform")

    def start_host(self, host):
        arguments = ["guavaramp-standin-host", "--address", host.address, "--name", host.name,
                     "--speed", str(host.speed), "--slots", "2", "--seed", str(self.seed * 1000 + int(host.name[1:])),
                     "--work-ms", str(host.work_ms), "--max-connections", str(self.max_connections)]
        for name in host.services:
            arguments += ["--service", f"{name}={SERVICES[name]}"]
        if host.false_health:
            arguments.append("--false-health")
        if REQUEST_SIDE:
            arguments += ["--request-work-ms", str(self.request_work_ms)]
        host.process = self.start_process(f"host-{host.name}", arguments)

    def start_hosts(self):
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            self.wait_until(lambda: self.answers(host.url("/packets")), f"host {host.name}")

    def entry_settings(self, entry):
        others = [item.address for item in self.entries if item is not entry]
        return {"address": entry.address, "failure_domain": entry.domain, "region": "default",
                "egress": FABRIC, "platform": f"http://{PLATFORM}", "seeds": others[:4],
                "fleet_keys": [FLEET_KEY], "operator_key": OPERATOR_KEY, "admission": self.admission,
                "max_flows": self.max_flows}

    def start_entry(self, entry):
        settings = self.write(f"entry-{entry.address}.json", self.entry_settings(entry))
        entry.process = self.start_process(f"entry-{entry.address}",
                                           ["guavaramp-entry", "--settings", settings])

    def start_entries(self):
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            self.wait_entry(entry)

    def wait_entry(self, entry):
        def ready():
            if not entry.process.running():
                raise MissingPart(f"entry VM {entry.address} ended: {entry.process.log_end()}")
            return self.answers(entry.url("/healthz"))
        self.wait_until(ready, f"entry VM {entry.address}")

    def start_flow_load(self):
        entries = {}
        for entry in self.entries:
            entries.setdefault(entry.domain, []).append(entry.packet_endpoint())
        self.flow_load = self.start_process("load-flows", [
            "guavaramp-load", "flows", "--listen", FABRIC, "--control", FLOW_CONTROL, "--seed",
            str(self.seed), "--entries", self.write("entries.json", entries)])
        self.wait_until(lambda: self.answers(f"http://{FLOW_CONTROL}/stats"), "the load generator")

    def start_request_load(self, clients=2):
        entries = {}
        for entry in self.entries:
            entries.setdefault(entry.domain, []).append(entry.packet_endpoint())
        self.request_load = self.start_process("load-requests", [
            "guavaramp-load", "requests", "--control", REQUEST_CONTROL, "--seed", str(self.seed),
            "--clients", str(clients), "--entries", self.write("request-entries.json", entries)])
        self.wait_until(lambda: self.answers(f"http://{REQUEST_CONTROL}/stats"), "the request generator")

    def start_all(self, flows=True, requests=False):
        self.start_platform()
        self.start_hosts()
        self.start_entries()
        self.wait_until(lambda: all(self.knows_fleet(entry) for entry in self.entries),
                        "configuration and membership")
        if flows:
            self.start_flow_load()
        if requests:
            self.start_request_load()

    def knows_fleet(self, entry):
        """Whether an entry VM has a configuration and sees all others."""
        try:
            counters = web.get(entry.url("/v1/counters"), timeout_s=1.0)
        except web.CallFailed:
            return False
        return counters.get("config_revision", 0) >= 1 and \
            counters.get("members_live", 0) >= len(self.entries)

    @staticmethod
    def answers(url):
        try:
            web.get(url, timeout_s=1.0)
            return True
        except web.CallFailed:
            return False

    def wait_until(self, condition, what, timeout_s=START_TIMEOUT_S):
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise MissingPart(f"{what} did not get ready in {timeout_s} s")
            time.sleep(0.02)

    # Commands

    def query(self, command, entry=None, timeout_s=8.0):
        """Runs an operator's command at an entry VM."""
        target = entry or next(item for item in self.entries if item.process and item.process.running())
        return web.post(target.url("/v1/query"), {"command": command, "key": OPERATOR_KEY}, timeout_s)

    def flows(self, path, body=None):
        url = f"http://{FLOW_CONTROL}{path}"
        return web.get(url) if body is None else web.post(url, body)

    def requests(self, path, body=None):
        url = f"http://{REQUEST_CONTROL}{path}"
        return web.get(url, 20.0) if body is None else web.post(url, body)

    def open_group(self, name, service, target, open_rate, message_interval_ms, lifetime_ms=0,
                   answer_limit_ms=5000):
        self.flows("/groups", {"name": name, "service": SERVICES[service], "target": target,
                               "open_rate": open_rate, "message_interval_ms": message_interval_ms,
                               "lifetime_ms": lifetime_ms, "answer_limit_ms": answer_limit_ms})

    def wait_open(self, count, timeout_s):
        """Waits until `count` flows are open; returns the number of open flows."""
        deadline = time.monotonic() + timeout_s
        while True:
            opened = self.flows("/stats")["open"]
            if opened >= count or time.monotonic() > deadline:
                return opened
            time.sleep(0.1)

    # Changes of entry VMs

    def remove_from_fabric(self, entry, after_ms):
        for control, process in ((self.flows, self.flow_load), (self.requests, self.request_load)):
            if process:
                control("/fabric/remove", {"entry": entry.packet_endpoint(), "after_ms": after_ms})

    def add_to_fabric(self, entry, after_ms=0):
        for control, process in ((self.flows, self.flow_load), (self.requests, self.request_load)):
            if process:
                control("/fabric/add", {"entry": entry.packet_endpoint(), "domain": entry.domain,
                                        "after_ms": after_ms})

    def replace_entry(self, entry):
        """A graceful stop, then a new process without state at the same address. Returns the stop's
        exit status and seconds; the status is None when the process had to be killed."""
        began = time.monotonic()
        entry.process.signal(signal.SIGTERM)
        self.remove_from_fabric(entry, LEAVE_AFTER_MS)
        status = entry.process.wait(STOP_TIMEOUT_S)
        if status is None:
            entry.process.signal(signal.SIGKILL)
            entry.process.wait(2.0)
        stop_s = time.monotonic() - began
        self.start_entry(entry)
        self.wait_entry(entry)
        self.add_to_fabric(entry)
        return status, stop_s

    def kill_entry(self, entry):
        """Kills an entry VM; the fabric learns of it later."""
        entry.process.signal(signal.SIGKILL)
        self.remove_from_fabric(entry, DEAD_AFTER_MS)

    def add_entries(self, wanted):
        """Starts more entry VMs, spread over the failure domains, until there are `wanted`."""
        fresh = []
        while len(self.entries) < wanted:
            index = len(self.entries) % len(DOMAINS)
            number = 1 + max(int(entry.address.split(".")[3]) for entry in self.entries
                             if entry.domain == DOMAINS[index])
            entry = Entry(index, number)
            self.entries.append(entry)
            fresh.append(entry)
            web.call("PUT", f"http://{PLATFORM}/standin/vms/{entry.address}",
                     {"address": entry.address, "failure_domain": entry.domain, "region": "default",
                      "leaving": False})
        for entry in fresh:
            self.start_entry(entry)
        for entry in fresh:
            self.wait_entry(entry)
        return fresh

    def platform_faults(self, faults):
        web.post(f"http://{PLATFORM}/standin/faults", faults)

    @staticmethod
    def platform_calls():
        """Calls since the start, and watches that wait now."""
        calls = web.get(f"http://{PLATFORM}/standin/calls")
        return calls["total"], calls["watches_waiting"]

    @staticmethod
    def block_peers(entry, addresses):
        """Cuts an entry VM off from others, until called again with fewer addresses."""
        web.post(entry.url("/v1/faults"), {"blocked_peers": addresses},
                 headers={"X-Operator-Key": OPERATOR_KEY})

    def host(self, name):
        return next(item for item in self.hosts if item.name == name)

    def packets(self, key):
        """The sum of a packet counter over all hosts."""
        return sum(web.get(host.url("/packets"))[key] for host in self.hosts
                   if host.process and host.process.running())


def request_side_built():
    """Whether the stand-in host serves requests."""
    path = os.path.join(BIN, "guavaramp-standin-host")
    if not os.path.exists(path):
        return False
    text = subprocess.run([path, "--help"], capture_output=True, text=True, check=False).stdout
    return "--request-work-ms" in text


REQUEST_SIDE = request_side_built()


def lock_addresses():
    """Waits until no other run on this machine uses the loopback addresses. The lock ends with the process;
    keep the returned file open."""
    lock = open(os.path.join(tempfile.gettempdir(), "guavaramp-loopback.lock"), "w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        note("another run uses the addresses; waiting for its end")
        fcntl.flock(lock, fcntl.LOCK_EX)
    return lock


def note(text):
    """Progress on standard error; standard output ends with the JSON object."""
    print(text, file=sys.stderr, flush=True)
