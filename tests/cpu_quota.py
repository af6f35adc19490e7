"""Holds processes to a share of a core, as a quota of each tenth of a second.

Runs as a process of its own, so that the threads of a play do not delay it:
a process runs freely until its share of the period is used up, and is stopped
until the period ends. `hold` leaves the signals of a process to the caller.
"""

import os
import signal
import subprocess
import sys
import threading
import time

PERIOD_NS = 100_000_000
# A process overruns its share by this much at most.
POLL_SECONDS = 0.002
# CPUCLOCK_SCHED of a whole process, see clock_getcpuclockid(3).
CPU_CLOCK_KIND = 2


def cpu_ns(pid):
    """Processor time that a process has used, of all its threads."""
    return time.clock_gettime_ns((~pid << 3) | CPU_CLOCK_KIND)


class Limited:
    """One process that is held to a share of a core."""

    def __init__(self, pid, share):
        self.pid, self.budget_ns = pid, int(share * PERIOD_NS)
        self.fd = os.pidfd_open(pid)
        self.start_ns = cpu_ns(pid)
        self.stopped = self.held = False

    def signal(self, number):
        signal.pidfd_send_signal(self.fd, number)
        self.stopped = number == signal.SIGSTOP

    def begin_period(self):
        # What was used beyond the budget counts in the next period.
        self.start_ns = max(self.start_ns + self.budget_ns,
                            cpu_ns(self.pid) - self.budget_ns)
        if self.stopped and not self.held:
            self.signal(signal.SIGCONT)

    def check(self):
        used_ns = cpu_ns(self.pid) - self.start_ns
        if not self.stopped and not self.held and used_ns >= self.budget_ns:
            self.signal(signal.SIGSTOP)
            return True
        return False


class Limiter:
    """Reads commands from standard input until it ends."""

    def __init__(self):
        self.processes, self.stops = {}, {}
        self.lock = threading.Lock()
        self.ended = threading.Event()

    def read_commands(self):
        for line in sys.stdin:
            verb, pid, *rest = line.split()
            pid = int(pid)
            with self.lock:
                if verb == "limit":
                    try:
                        self.processes[pid] = Limited(pid, float(rest[0]))
                    except OSError:
                        pass  # It has ended already.
                elif pid in self.processes:
                    self.processes[pid].held = verb == "hold"
        self.ended.set()

    def each(self, step):
        with self.lock:
            for pid, process in list(self.processes.items()):
                try:
                    if step(process):
                        self.stops[pid] = self.stops.get(pid, 0) + 1
                except OSError:
                    os.close(process.fd)
                    del self.processes[pid]

    def run(self):
        threading.Thread(target=self.read_commands, daemon=True).start()
        period = time.monotonic_ns()
        while not self.ended.wait(POLL_SECONDS):
            if time.monotonic_ns() - period >= PERIOD_NS:
                period = time.monotonic_ns()
                self.each(Limited.begin_period)
            self.each(Limited.check)
        self.each(lambda process: process.signal(signal.SIGCONT))
        for pid, stops in self.stops.items():
            print(pid, stops, flush=True)


class Quota:
    """Starts a limiter and passes processes to it."""

    def __init__(self):
        self.popen = subprocess.Popen([sys.executable, __file__], text=True,
                                      bufsize=1, stdin=subprocess.PIPE,
                                      stdout=subprocess.PIPE)
        self.lock = threading.Lock()

    def send(self, line):
        with self.lock:
            self.popen.stdin.write(line + "\n")

    def limit(self, pid, share):
        self.send(f"limit {pid} {share}")

    def hold(self, pid):
        self.send(f"hold {pid}")

    def free(self, pid):
        self.send(f"free {pid}")

    def close(self):
        """Ends the limiter; returns how often each process was stopped."""
        text, _ = self.popen.communicate()
        return {int(pid): int(stops) for pid, stops in
                (line.split() for line in text.splitlines())}


if __name__ == "__main__":
    Limiter().run()
