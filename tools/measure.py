"""Measures the real processes on loopback and prints a table of figures.

The added latency compares the same load through an entry and sent directly to
the fake endpoints. The figures are published in docs/MEASUREMENTS.md.
"""

import concurrent.futures
import http.client
import os
import shutil
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tests"))

from fleet import Fleet, http_call, wait_until  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEASURE_SECONDS = 8


def cpu_seconds(process):
    with open(f"/proc/{process.popen.pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(process):
    with open(f"/proc/{process.popen.pid}/statm") as f:
        return int(f.read().split()[1]) * PAGE_BYTES / 1e6


def percentile(values, fraction):
    values = sorted(values)
    index = min(len(values) - 1, int(fraction * len(values)))
    return values[index] if values else 0


def run_callers(port, path, headers, threads, seconds, times):
    """Runs keep-alive callers that each send requests back to back.

    Appends the milliseconds of each successful request to `times`.
    """
    end = time.monotonic() + seconds

    def run():
        conn = http.client.HTTPConnection("127.0.0.1", port)
        while time.monotonic() < end:
            began = time.monotonic()
            conn.request("GET", path, headers=headers)
            answer = conn.getresponse()
            answer.read()
            if answer.status == 200:
                times.append((time.monotonic() - began) * 1000)
        conn.close()

    workers = [threading.Thread(target=run) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()


def show(name, value, unit, target=""):
    print(f"{name:58}{value:10.2f} {unit:10}{target}", flush=True)


def measure_requests(fleet):
    key = {"authorization": "Bearer key-t"}
    entry = fleet.public_ports["entry0"]
    direct = []
    run_callers(fleet.public_ports["p-vm0"], "/work?id=direct", {}, 1, 3,
                direct)
    through = []
    run_callers(entry, "/q/q/work?id=through", key, 1, 3, through)
    show("added latency, one caller, p50",
         percentile(through, 0.5) - percentile(direct, 0.5), "ms", "<1")
    show("added latency, one caller, p99",
         percentile(through, 0.99) - percentile(direct, 0.99), "ms")
    names = [n for n in fleet.processes if n == "entry0" or "placer" in n]
    before = {n: cpu_seconds(fleet.processes[n]) for n in names}
    times = []
    run_callers(entry, "/q/q/work?id=many", key, 16, MEASURE_SECONDS, times)
    used = {n: cpu_seconds(fleet.processes[n]) - before[n] for n in names}
    show("requests per second, one entry, 16 Python callers",
         len(times) / MEASURE_SECONDS, "1/s")
    entry_us = used["entry0"] / len(times) * 1e6
    placer_us = (sum(used.values()) - used["entry0"]) / len(times) * 1e6
    show("processor time of entry per request", entry_us, "us")
    show("processor time of placer per request", placer_us, "us")
    show("processor time of both per request", entry_us + placer_us, "us",
         "<100")


def measure_idle(fleet):
    time.sleep(2)
    names = ["entry0", "placer0", "c0", "c1", "c2"]
    before = {n: cpu_seconds(fleet.processes[n]) for n in names}
    time.sleep(MEASURE_SECONDS)
    for name in names:
        used = cpu_seconds(fleet.processes[name]) - before[name]
        show(f"idle processor time of {name}", 100 * used / MEASURE_SECONDS,
             "% core", "<0.5")
    for name in names:
        show(f"memory of {name}", memory_mb(fleet.processes[name]), "MB", "<32")


def measure_waiting(fleet):
    """Measures the memory of the processes for 1,000 waiting requests."""
    before = {n: memory_mb(fleet.processes[n]) for n in ("entry0", "placer0",
                                                         "placer1")}
    key = {"authorization": "Bearer key-t"}
    count = 1000

    def send(i):
        try:
            http_call(fleet.public_ports["entry0"], "GET",
                      f"/q/q/work?id=w{i}&ms=3000", headers=key, timeout=4)
        except OSError:
            pass

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        done = [pool.submit(send, i) for i in range(count)]
        time.sleep(3)
        after = {n: memory_mb(fleet.processes[n]) for n in before}
        for d in done:
            d.result()
    for name in before:
        show(f"memory of {name} for 1,000 waiting requests",
             after[name] - before[name], "MB")
    time.sleep(4)


def measure_commits(fleet):
    for in_flight in (1, 16, 64):
        times = []
        end = time.monotonic() + 4

        def run(worker):
            n = 0
            while time.monotonic() < end:
                began = time.monotonic()
                fleet.put(("team", {"Id": f"load-{worker}", "Limit": n}))
                times.append((time.monotonic() - began) * 1000)
                n += 1

        with concurrent.futures.ThreadPoolExecutor(in_flight) as pool:
            list(pool.map(run, range(in_flight)))
        show(f"changes per second, {in_flight} in flight, 3 members",
             len(times) / 4, "1/s")
        show(f"  answered with the entry's view, p50 / p99: "
             f"{percentile(times, 0.5):.1f} / {percentile(times, 0.99):.1f}",
             percentile(times, 0.99), "ms p99", "<1000")


def measure_in_force(fleet):
    """Measures how soon a key granted through one entry works at the other."""
    times = []
    for i in range(30):
        key = f"key-{i}"
        fleet.grant_key("t", key)
        began = time.monotonic()
        wait_until(lambda: fleet.call("q", key, entry="entry1")[0] == 200, 9,
                   f"{key} is accepted by entry1")
        times.append((time.monotonic() - began) * 1000)
    show("from accepted to in force at the other entry, p99",
         percentile(times, 0.99), "ms", "<1000")


def measure_recovery(fleet):
    times = []
    for _ in range(5):
        name = fleet.wait_leader()
        fleet.processes[name].kill()
        began = time.monotonic()
        fleet.wait_leader()
        times.append((time.monotonic() - began) * 1000)
        fleet.processes[name].start()
        fleet.wait_ready(name)
    show("without a leader after a kill, mean", sum(times) / 5, "ms")
    show("without a leader after a kill, max", max(times), "ms", "<2000")
    victim = next(n for n in ("c0", "c1", "c2") if n != fleet.leader())
    entries = fleet.metric(victim, "almondgate_control_last_index")
    fleet.processes[victim].kill()
    began = time.monotonic()
    fleet.processes[victim].start()
    fleet.wait_ready(victim)
    show(f"restart of a member with {entries:.0f} log entries",
         (time.monotonic() - began) * 1000, "ms", "<2000")
    size = sum(os.path.getsize(os.path.join(fleet.data_folder(victim), f))
               for f in os.listdir(fleet.data_folder(victim)))
    show("  size of its data folder", size / 1e6, "MB")


def main():
    with Fleet() as fleet:
        fleet.start()
        fleet.simple_pool(vms=4, slots=8, limit=1000)
        measure_idle(fleet)
        measure_requests(fleet)
        measure_waiting(fleet)
        measure_in_force(fleet)
        measure_commits(fleet)
        measure_recovery(fleet)
    shutil.rmtree(fleet.folder)


if __name__ == "__main__":
    main()
