"""A seeded soak of jobs: real processes, faults from outside, promises checked
from what callers see and from what the stand-in workers write down."""

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
# Three of the tasks below fit a team's limit, so that it is always pressed.
TASK_CORES = 8
LIMIT_CORES = 24
# Most time from a cancel's acknowledgement to the last start.
CANCEL_SECONDS = 3
# A caller's patience: longer than a lost leader's lease and an election.
CALL_SECONDS = 10
SETTLE_SECONDS = 60
# A connection that failed, or was closed within an answer.
NO_ANSWER = (OSError, http.client.HTTPException)


class Caller(threading.Thread):
    """One caller: submits, looks and cancels over either entry."""

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
        self.broken = []

    def call(self, method, path, body=None):
        """(status, body), or (0, "") where there was no answer."""
        began = time.time()
        try:
            status, _, answer = self.jobs.call(
                method, path, body, self.random.choice(ENTRIES))
        except NO_ANSWER:
            return 0, b""
        took = time.time() - began
        if took > CALL_SECONDS:
            self.broken.append(f"{method} {path} answered {status} after "
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

    def look(self):
        if not self.accepted:
            return
        job = self.random.choice(sorted(self.accepted))
        status, body = self.call("GET", f"/jobs/q/{job}")
        if status == 404 or status == 410:
            self.broken.append(f"accepted job {job} is not known ({status})")
        if status != 200:
            return
        state = json.loads(body)["State"]
        if state == "completed":
            self.completed.setdefault(job, time.time())
        elif job in self.completed:
            self.broken.append(f"completed job {job} is shown as {state}")
        if state == "failed" or (state == "cancelled" and
                                 job not in self.cancelled):
            self.broken.append(f"job {job} is shown as {state} without cause")

    def cancel(self):
        open_jobs = sorted(self.accepted - set(self.completed) -
                           set(self.cancelled))
        if not open_jobs:
            return
        job = self.random.choice(open_jobs)
        # It may take effect, answered or not.
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
                self.look()
            else:
                self.cancel()
            time.sleep(self.random.uniform(0.02, 0.2))


class Operator(threading.Thread):
    """Gives configurations and reads them back, over either entry."""

    def __init__(self, jobs, seed):
        super().__init__(daemon=True)
        self.jobs = jobs
        self.random = random.Random(seed)
        self.running = True
        self.version = 1
        self.acknowledged = 1
        self.broken = []

    def run(self):
        while self.running:
            entry = self.random.choice(ENTRIES)
            known = self.acknowledged
            try:
                if self.random.random() < 0.5:
                    self.version += 1
                    content = config(self.version, LIMIT_CORES * 1000)
                    status, _ = self.jobs.fleet.admin("PUT", "fleet", content,
                                                      entry=entry)
                    if status == 200:
                        self.acknowledged = self.version
                else:
                    status, held = self.jobs.fleet.admin("GET", "fleet",
                                                         entry=entry)
                    if status == 200 and held["Version"] < known:
                        self.broken.append(
                            f"read configuration {held['Version']} after "
                            f"{known} was acknowledged")
            except (*NO_ANSWER, json.JSONDecodeError):
                pass
            time.sleep(self.random.uniform(0.1, 0.5))


class Faults:
    """Overlapping faults, drawn from a seed; each is undone by itself."""

    def __init__(self, jobs, seed):
        self.jobs = jobs
        self.random = random.Random(seed)
        self.held = set()
        self.undo = []
        self.log = []
        self.kills = []

    def step(self):
        now = time.time()
        for due in [u for u in self.undo if u[0] <= now]:
            self.undo.remove(due)
            due[2]()
            self.held.discard(due[1])
        kinds = [self.kill, self.stop, self.pause, self.cut, self.delay,
                 self.reset, self.kill_worker, self.cut_worker,
                 self.cut_worker, self.cut_worker, self.kill_leader]
        self.random.choice(kinds)()

    def finish(self):
        for _, _, undo in self.undo:
            undo()
        self.undo = []

    def hold(self, target, seconds, undo, what):
        self.held.add(target)
        self.undo.append((time.time() + seconds, target, undo))
        self.log.append(f"{time.time():.2f} {what} {target} {seconds:.2f} s")

    def free(self, names):
        return [n for n in names if n not in self.held]

    def process(self, name):
        return self.jobs.fleet.processes[name]

    def pick(self, names):
        free = self.free(names)
        return self.random.choice(free) if free else None

    def kill(self):
        name = self.pick(MEMBERS + ENTRIES)
        if name:
            self.process(name).kill()
            self.hold(name, self.random.uniform(0.1, 2), self.process(name).start,
                      "kill")

    def kill_leader(self):
        # Held ones may be paused, and would hold the question up.
        leader = next((n for n in self.free(MEMBERS) if self.leads(n)), None)
        if leader:
            self.process(leader).kill()
            self.hold(leader, self.random.uniform(0.1, 2),
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

            def again():
                self.process(name).popen.wait(30)
                self.process(name).start()
            self.hold(name, self.random.uniform(0.5, 2), again, "stop")

    def pause(self):
        name = self.pick(MEMBERS + ENTRIES)
        if name:
            self.process(name).signal(signal.SIGSTOP)
            self.hold(name, self.random.uniform(0.1, 4),
                      lambda: self.process(name).signal(signal.SIGCONT), "pause")

    def relay(self):
        """A link between an entry and a member."""
        entry = self.random.choice(ENTRIES)
        at = self.random.randrange(len(MEMBERS))
        return f"{entry}-c{at}", self.jobs.fleet.relays[entry][at]

    def cut(self):
        name, relay = self.relay()
        if name not in self.held:
            relay.cut(self.random.choice(["up", "down", "both"]))
            self.hold(name, self.random.uniform(0.2, 3), relay.heal, "cut")

    def delay(self):
        name, relay = self.relay()
        if name not in self.held:
            relay.delay = self.random.uniform(0.005, 0.1)
            self.hold(name, self.random.uniform(0.2, 2), relay.heal, "delay")

    def reset(self):
        name, relay = self.relay()
        relay.reset()
        self.log.append(f"{time.time():.2f} reset {name}")

    def kill_worker(self):
        name = self.pick([f"worker{i}" for i in range(WORKERS)])
        if name:
            self.process(name).kill()
            self.kills.append((int(name[6:]), int(time.time() * 1000)))
            self.hold(name, self.random.uniform(0.2, 2), self.process(name).start,
                      "kill")

    def cut_worker(self):
        at = self.random.randrange(WORKERS)
        name, relay = f"link of worker{at}", self.jobs.relays[at]
        if name not in self.held:
            relay.cut(self.random.choice(["up", "down", "both"]))
            self.hold(name, self.random.uniform(0.2, 5), relay.heal, "cut")


def runs_of(jobs, kills):
    """Runs of all workers: (task, begin, end, how), milliseconds; a killed
    worker's runs end with it."""
    out = []
    for worker in range(len(jobs.records)):
        deaths = sorted(ms for w, ms in kills if w == worker)
        begun = {}
        for what, task, run, ms in jobs.rows(worker):
            if what == "start":
                begun[task, run] = ms
            else:
                out.append((task, begun.pop((task, run)), ms, what))
        for (task, _), begin in begun.items():
            later = [ms for ms in deaths if ms >= begin]
            out.append((task, begin, later[0] if later else 1 << 62, "lost"))
    return sorted(out, key=lambda row: row[1])


def check_runs(runs, callers):
    """What the workers' records show to be broken."""
    broken = []
    sent = set().union(*(c.sent for c in callers))
    cancelled = {j: at for c in callers for j, at in c.cancelled.items() if at}
    completed = {j: at for c in callers for j, at in c.completed.items()}
    changes = []
    last_end = {}
    first_done = {}
    for task, begin, end, how in runs:
        job = task.split(".")[0]
        if job not in sent:
            broken.append(f"{task} runs, and nobody sent its job")
        if job in cancelled and begin / 1000 > cancelled[job] + CANCEL_SECONDS:
            broken.append(f"{task} starts after its job was cancelled")
        if job in completed and begin / 1000 > completed[job]:
            broken.append(f"{task} starts after its job was completed")
        if begin < last_end.get(task, 0):
            broken.append(f"{task} runs twice at the same time")
        last_end[task] = max(last_end.get(task, 0), end)
        if how == "done":
            first_done.setdefault(task, end)
        changes += [(begin, 1), (end, -1)]
    now = 0
    for at, change in sorted(changes):
        now += change
        if now * TASK_CORES > LIMIT_CORES:
            broken.append(f"{now * TASK_CORES} cores run at {at}, over the limit")
    for task, begin, _, _ in runs:
        job, occurrence, step, _ = task.split(".")
        if step == "1":
            before = [t for t in last_end if t.startswith(f"{job}.{occurrence}.0.")]
            late = [t for t in before if first_done.get(t, 1 << 62) > begin]
            if late:
                broken.append(f"{task} starts before {late[0]} is done")
    return broken


def check_settled(jobs, callers):
    """All accepted work that nobody cancelled is completed in time."""
    broken = []
    until = time.time() + SETTLE_SECONDS
    for caller in callers:
        for job in sorted(caller.accepted - set(caller.cancelled)):
            try:
                wait_until(lambda: jobs.state(job) == "completed",
                           max(1, until - time.time()), job)
            except AssertionError:
                broken.append(f"accepted job {job} is {jobs.state(job)}, not "
                              "completed")
            except OSError as error:
                broken.append(f"state of job {job}: {error}")
    return broken


def wait_all_ready(fleet):
    """Every process serves again once all faults are undone."""
    broken = []
    for name in MEMBERS + ENTRIES:
        try:
            fleet.wait_ready(name)
        except AssertionError as error:
            broken.append(str(error))
    return broken


def soak(seed, seconds):
    """Plays one seed; gives (what broke, a line of figures, faults, folder)."""
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
        broken = wait_all_ready(fleet)
        for thread in threads:
            thread.running = False
        for thread in threads:
            thread.join(40)
        broken += [b for t in threads for b in t.broken]
        broken += check_settled(jobs, callers)
        broken += [f"{name} has ended by itself" for name, process
                   in fleet.processes.items() if not process.alive()]
        runs = runs_of(jobs, faults.kills)
        broken += check_runs(runs, callers)
        accepted = sum(len(c.accepted) for c in callers)
        line = (f"seed {seed}: {accepted} of "
                f"{sum(len(c.sent) for c in callers)} jobs accepted, "
                f"{len(runs)} runs, {len(faults.log)} faults, configuration "
                f"{operator.acknowledged}, {len(broken)} broken")
        return broken, line, faults.log, fleet.folder
