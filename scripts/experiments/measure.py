"""Samples counters and CPU time of entry VMs."""
import os
import statistics
import threading
import time

from . import web

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def counter_sum(counters, prefix):
    """The sum of a counter over its reasons."""
    return sum(value for name, value in counters.items()
               if name == prefix or name.startswith(prefix + "{"))


class CounterSampler:
    """Reads the counters of all entry VMs each second and sums up the growth of some of them by address. A
    restart of a daemon sets its counters to 0, which is not counted as growth."""

    NAMES = ["control_bytes_total", "relay_header_bytes_total", "probe_bytes_total"]

    def __init__(self, entries):
        self.entries = entries
        self.growth = {entry.address: dict.fromkeys(self.NAMES, 0) for entry in entries}
        self.last = {entry.address: {} for entry in entries}
        self.sampled_at = {entry.address: time.monotonic() for entry in entries}
        self.worst_second = 0.0  # control bytes a second of any daemon in any sample
        self.seconds = 0.0
        self.stopping = threading.Event()
        self.began = time.monotonic()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.stopping.wait(1.0):
            self.sample()

    def sample(self):
        for entry in self.entries:
            try:
                counters = web.get(entry.url("/v1/counters"), timeout_s=1.0)
            except (web.CallFailed, ValueError):
                continue
            grown = {}
            for name in self.NAMES:
                value = counter_sum(counters, name)
                before = self.last[entry.address].get(name)
                grown[name] = 0 if before is None else value - before if value >= before else value
                self.growth[entry.address][name] += grown[name]
                self.last[entry.address][name] = value
            now = time.monotonic()
            # A shorter interval than half a second comes from an extra sample and would exaggerate the rate.
            interval_s = max(0.5, now - self.sampled_at[entry.address])
            self.worst_second = max(self.worst_second, grown["control_bytes_total"] / interval_s)
            self.sampled_at[entry.address] = now

    def reset(self):
        """Starts the measurement from now."""
        self.sample()
        for growth in self.growth.values():
            growth.update(dict.fromkeys(self.NAMES, 0))
        self.worst_second = 0.0
        self.began = time.monotonic()

    def stop(self):
        self.sample()
        self.seconds = time.monotonic() - self.began
        self.stopping.set()
        self.thread.join(3.0)

    def rates(self, name):
        """Bytes a second of each daemon."""
        return [growth[name] / self.seconds for growth in self.growth.values()]

    def fields(self):
        control = self.rates("control_bytes_total")
        return {
            "control_bytes_per_second_per_daemon": round(statistics.median(control), 1),
            "control_bytes_per_second_per_daemon_worst": round(self.worst_second, 1),
            "relay_header_bytes_per_second_per_daemon": round(
                statistics.median(self.rates("relay_header_bytes_total")), 1),
            "probe_bytes_per_second_per_daemon": round(
                statistics.median(self.rates("probe_bytes_total")), 1),
        }


def thread_cpu_seconds(pid):
    """CPU seconds by thread name and id of a process."""
    result = {}
    for task in os.listdir(f"/proc/{pid}/task"):
        try:
            with open(f"/proc/{pid}/task/{task}/stat") as file:
                text = file.read()
        except OSError:
            continue
        name = text[text.index("(") + 1:text.rindex(")")]
        fields = text[text.rindex(")") + 2:].split()
        result[(name, task)] = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return result


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
