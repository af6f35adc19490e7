"""A seeded soak test of jobs on real processes with injected faults.

The guarantees are checked from what callers observe and from the records that
the fake workers write.
"""

import http.client
import json
import random
import signal
import threading
import time

from fleet import Fleet, wait_until
from job_fleet import JobFleet, config, job_id

MEMBERS = ["c0", "c1", "c2"]
ENTRIES = ["entry0", "entry1"]
WORKERS = 4
# Only three of these tasks fit the team's limit, so that the load always
# reaches the limit.
TASK_CORES = 8
LIMIT_CORES = 24
# Maximum time from the acknowledgement of a cancellation to the last start of
# one of the job's tasks.
MAX_CANCEL_SECONDS = 3
# Maximum duration of a call: longer than the lease of a lost leader and an
# election together.
MAX_CALL_SECONDS = 10
# Time for all accepted jobs to complete after the faults have been undone.
COMPLETION_TIMEOUT_SECONDS = 60
# Stands for the end of a run without a recorded end, in milliseconds.
NEVER_MS = 1 << 62
# The connection failed, or was closed in the middle of an answer.
NO_ANSWER = (OSError, http.client.HTTPException)


class Caller(threading.Thread):
    """Submits, queries and cancels jobs through randomly chosen entries."""

    def __init__(self, jobs, number, seed):
        super().__init__(daemon=True)
        self.jobs = jobs
        self.random = random.Random(seed * 100 + number)
        self.number = number
        self.running = True
        self.accepted = set()
        self.sent = set()
        self.cancelled = {}
        self.completed = {}
        self.violations = []

    def call(self, method, path, body=None):
        """Returns (status, body), or (0, b"") if there was no answer."""
        began = time.time()
        try:
            status, _, answer = self.jobs.call(
                method, path, body, self.random.choice(ENTRIES))
        except NO_ANSWER:
            return 0, b""
        took = time.time() - began
        if took > MAX_CALL_SECONDS:
            self.violations.append(f"{method} {path} answered {status} after "
                                   f"{took:.1f} s")
        return status, answer

    def spec(self):
        need = {"MilliCpus": TASK_CORES * 1000, "MemoryMb": 10}
        ms = self.random.choice([50, 200, 600, 2500])
        count = self.random.randint(1, 3)
        steps = [{"Count": count, "Need": need, "EstimateMs": ms}]
        if self.random.random() < 0.5:
            steps.append({"Count": count, "Need": need, "EstimateMs": ms,
                          "After": [0]})
        return {"Content": str(ms), "Steps": steps}

    def submit(self):
        job = job_id(self.number * 100000 + len(self.sent) + 1)
        self.sent.add(job)
        spec = self.spec()
        for _ in range(self.random.randint(1, 4)):
            status, _ = self.call("POST", f"/jobs/q/{job}", spec)
            if status == 200:
                self.accepted.add(job)
                return
            time.sleep(0.1)

    def query(self):
        if not self.accepted:
            return
        job = self.random.choice(sorted(self.accepted))
        status, body = self.call("GET", f"/jobs/q/{job}")
        if status == 404 or status == 410:
            self.violations.append(
                f"accepted job {job} is unknown (status {status})")
        if status != 200:
            return
        state = json.loads(body)["State"]
        if state == "completed":
            self.completed.setdefault(job, time.time())
        elif job in self.completed:
            self.violations.append(
                f"completed job {job} is reported as {state}")
        if state == "failed" or (state == "cancelled" and
                                 job not in self.cancelled):
            self.violations.append(
                f"job {job} is reported as {state} without a cause")

    def cancel(self):
        open_jobs = sorted(self.accepted - set(self.completed) -
                           set(self.cancelled))
        if not open_jobs:
            return
        job = self.random.choice(open_jobs)
        # Recorded before the call: a cancellation may take effect even if it
        # is never answered.
        self.cancelled[job] = None
        status, _ = self.call("DELETE", f"/jobs/q/{job}")
        if status == 200:
            self.cancelled[job] = time.time()

    def run(self):
        while self.running:
            chance = self.random.random()
            if chance < 0.4:
                self.submit()
            elif chance < 0.95:
                self.query()
            else:
                self.cancel()
            time.sleep(self.random.uniform(0.02, 0.2))


class Operator(threading.Thread):
    """Writes configurations and reads them back through random entries."""

    def __init__(self, jobs, seed):
        super().__init__(daemon=True)
        self.jobs = jobs
        self.random = random.Random(seed)
        self.running = True
        self.version = 1
        self.acknowledged = 1
        self.violations = []

    def run(self):
        while self.running:
            entry = self.random.choice(ENTRIES)
            acknowledged = self.acknowledged
            try:
                if self.random.random() < 0.5:
                    self.version += 1
                    content = config(self.version, LIMIT_CORES * 1000)
                    status, _ = self.jobs.fleet.admin("PUT", "fleet", content,
                                                      entry=entry)
                    if status == 200:
                        self.acknowledged = self.version
                else:
                    status, read = self.jobs.fleet.admin("GET", "fleet",
                                                         entry=entry)
                    if status == 200 and read["Version"] < acknowledged:
                        self.violations.append(
                            f"read configuration {read['Version']} after "
                            f"{acknowledged} was acknowledged")
            except (*NO_ANSWER, json.JSONDecodeError):
                pass
            time.sleep(self.random.uniform(0.1, 0.5))


class Faults:
    """Injects overlapping faults drawn from a seed; undoes each after a time."""

    def __init__(self, jobs, seed):
        self.jobs = jobs
        self.random = random.Random(seed)
        self.faulty = set()
        self.pending_undos = []
        self.log = []
        self.kills = []

    def step(self):
        now = time.time()
        for due in [u for u in self.pending_undos if u[0] <= now]:
            self.pending_undos.remove(due)
            due[2]()
            self.faulty.discard(due[1])
        kinds = [self.kill, self.stop, self.pause, self.cut, self.delay,
                 self.reset, self.kill_worker, self.cut_worker,
                 self.cut_worker, self.cut_worker, self.kill_leader]
        self.random.choice(kinds)()

    def finish(self):
        for _, _, undo in self.pending_undos:
            undo()
        self.pending_undos = []

    def undo_after(self, target, seconds, undo, what):
        self.faulty.add(target)
        self.pending_undos.append((time.time() + seconds, target, undo))
        self.log.append(f"{time.time():.2f} {what} {target} {seconds:.2f} s")

    def without_fault(self, names):
        return [n for n in names if n not in self.faulty]

    def process(self, name):
        return self.jobs.fleet.processes[name]

    def pick(self, names):
        healthy = self.without_fault(names)
        return self.random.choice(healthy) if healthy else None

    def kill(self):
        name = self.pick(MEMBERS + ENTRIES)
        if name:
            self.process(name).kill()
            self.undo_after(name, self.random.uniform(0.1, 2),
                            self.process(name).start, "kill")

    def kill_leader(self):
        # Members with a fault are skipped: a paused one would block the query.
        leader = next((n for n in self.without_fault(MEMBERS)
                       if self.leads(n)), None)
        if leader:
            self.process(leader).kill()
            self.undo_after(leader, self.random.uniform(0.1, 2),
                            self.process(leader).start, "kill leader")

    def leads(self, name):
        try:
            fleet = self.jobs.fleet
            return fleet.metric(name, "almondgate_control_leads") == 1
        except OSError:
            return False

    def stop(self):
        name = self.pick(MEMBERS + ENTRIES)
        if name:
            self.process(name).popen.terminate()

            def restart():
                self.process(name).popen.wait(30)
                self.process(name).start()
            self.undo_after(name, self.random.uniform(0.5, 2), restart, "stop")

    def pause(self):
        name = self.pick(MEMBERS + ENTRIES)
        if name:
            self.process(name).signal(signal.SIGSTOP)
            self.undo_after(name, self.random.uniform(0.1, 4),
                            lambda: self.process(name).signal(signal.SIGCONT),
                            "pause")

    def pick_relay(self):
        """Returns (name, relay) of a random link from an entry to a member."""
        entry = self.random.choice(ENTRIES)
        member = self.random.randrange(len(MEMBERS))
        return f"{entry}-c{member}", self.jobs.fleet.relays[entry][member]

    def cut(self):
        name, relay = self.pick_relay()
        if name not in self.faulty:
            relay.cut(self.random.choice(["up", "down", "both"]))
            self.undo_after(name, self.random.uniform(0.2, 3), relay.heal,
                            "cut")

    def delay(self):
        name, relay = self.pick_relay()
        if name not in self.faulty:
            relay.delay = self.random.uniform(0.005, 0.1)
            self.undo_after(name, self.random.uniform(0.2, 2), relay.heal,
                            "delay")

    def reset(self):
        name, relay = self.pick_relay()
        relay.reset()
        self.log.append(f"{time.time():.2f} reset {name}")

    def kill_worker(self):
        name = self.pick([f"worker{i}" for i in range(WORKERS)])
        if name:
            self.process(name).kill()
            self.kills.append((int(name[6:]), int(time.time() * 1000)))
            self.undo_after(name, self.random.uniform(0.2, 2),
                            self.process(name).start, "kill")

    def cut_worker(self):
        worker = self.random.randrange(WORKERS)
        name, relay = f"link of worker{worker}", self.jobs.relays[worker]
        if name not in self.faulty:
            relay.cut(self.random.choice(["up", "down", "both"]))
            self.undo_after(name, self.random.uniform(0.2, 5), relay.heal,
                            "cut")


def runs_of(jobs, kills):
    """Returns the runs of all workers as (task, begin, end, outcome).

    Times are in milliseconds. A run without a recorded end ends, as "lost",
    when its worker was next killed.
    """
    out = []
    for worker in range(len(jobs.records)):
        kill_times = sorted(ms for w, ms in kills if w == worker)
        open_runs = {}
        for event, task, run, ms in jobs.rows(worker):
            if event == "start":
                open_runs[task, run] = ms
            else:
                out.append((task, open_runs.pop((task, run)), ms, event))
        for (task, _), begin in open_runs.items():
            later = [ms for ms in kill_times if ms >= begin]
            out.append((task, begin, later[0] if later else NEVER_MS, "lost"))
    return sorted(out, key=lambda row: row[1])


def check_runs(runs, callers):
    """Returns the violations that the workers' records show."""
    violations = []
    sent = set().union(*(c.sent for c in callers))
    cancelled = {j: at for c in callers for j, at in c.cancelled.items() if at}
    completed = {j: at for c in callers for j, at in c.completed.items()}
    changes = []
    last_end = {}
    first_done = {}
    for task, begin, end, outcome in runs:
        job = task.split(".")[0]
        if job not in sent:
            violations.append(f"{task} ran, but its job was never submitted")
        if (job in cancelled and
                begin / 1000 > cancelled[job] + MAX_CANCEL_SECONDS):
            violations.append(
                f"{task} started more than {MAX_CANCEL_SECONDS} s after its "
                "job was cancelled")
        if job in completed and begin / 1000 > completed[job]:
            violations.append(f"{task} started after its job was completed")
        if begin < last_end.get(task, 0):
            violations.append(f"{task} had two concurrent runs")
        last_end[task] = max(last_end.get(task, 0), end)
        if outcome == "done":
            first_done.setdefault(task, end)
        changes += [(begin, 1), (end, -1)]
    running = 0
    for at, change in sorted(changes):
        running += change
        if running * TASK_CORES > LIMIT_CORES:
            violations.append(f"{running * TASK_CORES} cores in use at {at} "
                              f"ms, limit {LIMIT_CORES}")
    for task, begin, _, _ in runs:
        job, occurrence, step, _ = task.split(".")
        if step == "1":
            before = [t for t in last_end if t.startswith(f"{job}.{occurrence}.0.")]
            late = [t for t in before if first_done.get(t, NEVER_MS) > begin]
            if late:
                violations.append(f"{task} started before {late[0]} was done")
    return violations


def check_completion(jobs, callers):
    """Checks that each accepted job that wasn't cancelled completes in time."""
    violations = []
    until = time.time() + COMPLETION_TIMEOUT_SECONDS
    for caller in callers:
        for job in sorted(caller.accepted - set(caller.cancelled)):
            try:
                wait_until(lambda: jobs.state(job) == "completed",
                           max(1, until - time.time()), job)
            except AssertionError:
                violations.append(f"accepted job {job} is {jobs.state(job)}, "
                                  "not completed")
            except OSError as error:
                violations.append(f"can't read the state of job {job}: {error}")
    return violations


def wait_all_ready(fleet):
    """Checks that every process becomes ready once all faults are undone."""
    violations = []
    for name in MEMBERS + ENTRIES:
        try:
            fleet.wait_ready(name)
        except AssertionError as error:
            violations.append(str(error))
    return violations


def soak(seed, seconds):
    """Runs one seed; returns (violations, summary line, faults, log folder)."""
    with Fleet(members=len(MEMBERS), placers=0, entries=0) as fleet:
        for entry in ENTRIES:
            fleet.add_entry(entry, relayed=True)
        fleet.start()
        jobs = JobFleet(fleet, WORKERS, relayed=True)
        jobs.configure(config(1, LIMIT_CORES * 1000))
        callers = [Caller(jobs, n, seed) for n in range(1, 4)]
        operator = Operator(jobs, seed)
        threads = callers + [operator]
        for thread in threads:
            thread.start()
        faults = Faults(jobs, seed)
        until = time.time() + seconds
        while time.time() < until:
            time.sleep(faults.random.uniform(0.1, 0.8))
            faults.step()
        faults.finish()
        violations = wait_all_ready(fleet)
        for thread in threads:
            thread.running = False
        for thread in threads:
            thread.join(40)
        violations += [v for t in threads for v in t.violations]
        violations += check_completion(jobs, callers)
        violations += [f"{name} exited unexpectedly" for name, process
                       in fleet.processes.items() if not process.alive()]
        runs = runs_of(jobs, faults.kills)
        violations += check_runs(runs, callers)
        accepted = sum(len(c.accepted) for c in callers)
        summary = (f"seed {seed}: {accepted} of "
                   f"{sum(len(c.sent) for c in callers)} jobs accepted, "
                   f"{len(runs)} runs, {len(faults.log)} faults, configuration "
                   f"{operator.acknowledged}, {len(violations)} violations")
        return violations, summary, faults.log, fleet.folder
