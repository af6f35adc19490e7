"""Demonstrates request and job handling under faults on a local fleet.

Runs a mixed load on the queues of two companies while a placer and the control
leader are killed and a rack is drained, then jobs of two steps during which the
leader is killed. Exits with status 0 only if no request or job was lost,
duplicated or disconnected.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "tests"))

from fleet import Fleet  # noqa: E402
from job_fleet import JobFleet, config, job_id, two_step_job  # noqa: E402
from load import Load  # noqa: E402

POOLS = ["counter", "police", "ledger", "price", "settle"]
VMS_PER_POOL = 4
LOAD_SECONDS = 12
JOBS = 4
TASKS_PER_STEP = 5
# (queue, pool, team, class, limit)
QUEUES = [
    ("counter-checks", "counter", "inspectors", "urgent", 200),
    ("stolen-jewellery", "police", "police-liaison", "urgent", 100),
    ("ledger-nightly", "ledger", "registry", "batch", 50),
    ("price-checks", "price", "outlets", "urgent", 200),
    ("settlements", "settle", "finance", "batch", 60),
]


def configure(fleet):
    fleet.put(*[("pool", {"Id": p}) for p in POOLS])
    for queue, pool, team, work_class, limit in QUEUES:
        fleet.put(("team", {"Id": team, "Share": 1, "Limit": limit}),
                  ("queue", {"Id": queue, "Pool": pool, "Team": team,
                             "Class": work_class}))
        fleet.grant_key(team, "key-" + team)
    for p, pool in enumerate(POOLS):
        for i in range(VMS_PER_POOL):
            fleet.add_endpoint(f"{pool}-{i}", pool, zone=f"z{i % 3}",
                               rack=f"rack{p}{i // 2}")
    for queue, _, team, _, _ in QUEUES:
        fleet.wait_serving(queue, "key-" + team)


def start_loads(fleet):
    loads = []
    for queue, _, team, work_class, _ in QUEUES:
        method = "POST" if queue == "settlements" else "GET"
        ms = 10 if work_class == "urgent" else 60
        loads.append(Load(fleet, queue, "key-" + team, threads=4, ms=ms,
                          method=method, name=queue))
    return loads


def say(text):
    print(text, flush=True)


def inject_faults(fleet):
    time.sleep(LOAD_SECONDS / 4)
    say("killing placer0")
    fleet.processes["placer0"].kill()
    time.sleep(LOAD_SECONDS / 4)
    leader = fleet.wait_leader()
    say(f"killing the control leader, {leader}")
    fleet.processes[leader].kill()
    fleet.wait_leader()
    say("draining rack00")
    fleet.change("create-wave", {"Created": {"Id": "demo", "Kind": "drain",
                                             "Rack": "rack00"}})
    time.sleep(LOAD_SECONDS / 2)


def percentile(sorted_values, fraction):
    index = int(fraction * len(sorted_values))
    return sorted_values[min(len(sorted_values) - 1, index)]


def report(fleet, loads):
    """Prints a row per queue and the demo wave; returns the failed requests."""
    run_counts = fleet.run_counts()
    say(f"{'queue':18}{'sent':>7}{'answered':>9}{'refused':>8}{'lost':>6}"
        f"{'duplicated':>11}{'disconnected':>13}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'max ms':>9}")
    failures = 0
    for load in loads:
        answered = load.count("answered")
        refused = sum(o.endswith("not-run") for o in load.outcomes.values())
        disconnected = len(load.outcomes) - answered - refused
        lost = sum(o == "answered" and run_counts.get(r, 0) == 0
                   for r, o in load.outcomes.items())
        duplicated = 0
        if load.method == "POST":
            duplicated = sum(run_counts.get(r, 0) > 1 for r in load.outcomes)
        times = sorted(load.latencies)
        say(f"{load.queue:18}{len(load.outcomes):7}{answered:9}{refused:8}"
            f"{lost:6}{duplicated:11}{disconnected:13}"
            f"{percentile(times, 0.5) * 1000:8.1f}"
            f"{percentile(times, 0.99) * 1000:8.1f}{times[-1] * 1000:9.1f}")
        failures += lost + duplicated + disconnected
    wave = next(w for w in fleet.table("waves") if w["Id"] == "demo")
    say("wave demo: " + ", ".join(f"{vm} {phase}"
                                  for vm, phase in wave["Steps"].items()))
    return failures


def run_jobs():
    """Runs jobs of two steps on three workers; returns 1 on a fault, else 0."""
    with Fleet(members=3, placers=0, entries=1) as fleet:
        fleet.start()
        jobs = JobFleet(fleet, workers=3)
        jobs.configure(config())
        for n in range(JOBS):
            jobs.submit(job_id(n), two_step_job(TASKS_PER_STEP, 800))
        leader = fleet.wait_leader()
        say(f"{JOBS} jobs of two steps accepted; "
            f"killing the control leader, {leader}")
        fleet.processes[leader].kill()
        for n in range(JOBS):
            jobs.wait_state(job_id(n), "completed", 60)
        done = [task for event, task, _, _ in jobs.runs() if event == "done"]
        expected = JOBS * 2 * TASKS_PER_STEP
        say(f"jobs completed: {JOBS}; tasks done {len(done)} of {expected}, "
            f"at most {jobs.peak_runs_per_task()} concurrent runs of a task")
        return int(len(done) != expected or jobs.peak_runs_per_task() != 1)


def main():
    say("starting 3 control members, 3 placers, 3 entries, 20 endpoints")
    with Fleet(members=3, placers=3, entries=3) as fleet:
        fleet.start()
        configure(fleet)
        say(f"logs in {fleet.folder}")
        loads = start_loads(fleet)
        try:
            inject_faults(fleet)
        finally:
            for load in loads:
                load.stop()
        failures = report(fleet, loads)
    failures += run_jobs()
    say("nothing was lost, duplicated or disconnected" if failures == 0
        else f"{failures} faults: requests or jobs were lost, duplicated or "
             "disconnected")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
