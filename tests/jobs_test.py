"""Jobs through the real processes: two steps through kills of the leader."""

import json
import os
import subprocess
import time

import pytest

from fleet import BUILD, Fleet, free_port, http_call, wait_until

SECRET_FLAG = "--secret="
KEY = {"authorization": "Bearer key-t"}


def config(version=1, limit=0):
    return {
        "Version": version,
        "Pools": [{"Id": "p"}],
        "Queues": [{"Id": "q", "PathPrefix": "/jobs/q/", "Pool": "p",
                    "MaxAttempts": 2, "Stretch": 4.0, "TargetMs": 5000}],
        "Teams": [{"Id": "t", "Keys": ["key-t"], "Weight": 1,
                   "Limit": {"MilliCpus": limit}}],
    }


def two_steps(count, run_ms):
    need = {"MilliCpus": 8000, "MemoryMb": 10}
    return {"Content": str(run_ms), "Steps": [
        {"Count": count, "Need": need, "EstimateMs": run_ms},
        {"Count": count, "Need": need, "EstimateMs": run_ms, "After": [0]}]}


class JobFleet:
    """A Fleet whose control members run jobs on stand-in workers."""

    def __init__(self, fleet, workers):
        self.fleet = fleet
        self.records = []
        secret = next(a for a in fleet.processes["entry0"].args
                      if a.startswith(SECRET_FLAG))
        control = next(a for a in fleet.processes["entry0"].args
                       if a.startswith("--control="))
        for i in range(workers):
            record = os.path.join(fleet.folder, f"runs-{i}")
            self.records.append(record)
            process = fleet._add(f"worker{i}", "fake-worker", [
                secret, control, f"--listen=127.0.0.1:{free_port()}",
                f"--vm=w{i}", f"--rack=r{i % 2}", f"--record={record}"])
            process.start()

    def call(self, method, path, body=None):
        port = self.fleet.public_ports["entry0"]
        return http_call(port, method, path,
                         None if body is None else json.dumps(body), KEY)

    def configure(self, content):
        def put():
            return self.fleet.admin("PUT", "fleet", content)[0] == 200
        wait_until(put, 20, "configuration")

    def submit(self, job, spec):
        """Sends the job, under the same name, until it is accepted."""
        def sent():
            return self.call("POST", f"/jobs/q/{job}", spec)[0] == 200
        wait_until(sent, 20, "job " + job)

    def state(self, job):
        status, _, body = self.call("GET", f"/jobs/q/{job}")
        return json.loads(body)["State"] if status == 200 else str(status)

    def wait_state(self, job, state, seconds=30):
        wait_until(lambda: self.state(job) == state, seconds,
                   f"job {job} {state}")

    def runs(self):
        """(what, task, run, ms) of all workers, by time."""
        rows = []
        for record in self.records:
            if os.path.exists(record):
                with open(record) as lines:
                    rows += [line.split() for line in lines]
        return sorted(((w, t, int(r), int(ms)) for w, t, r, ms in rows),
                      key=lambda row: row[3])

    def most_at_once(self):
        """The most runs of one task at a time."""
        open_runs, most = {}, 0
        for what, task, run, _ in self.runs():
            held = open_runs.setdefault(task, set())
            if what == "start":
                held.add(run)
            else:
                held.discard(run)
            most = max(most, len(held))
        return most


@pytest.fixture
def jobs():
    with Fleet(members=3, placers=1, entries=1) as fleet:
        fleet.start()
        out = JobFleet(fleet, workers=3)
        out.configure(config())
        yield out


def job_id(n):
    return f"{n:016x}"


def test_a_job_of_two_steps_runs_in_order(jobs):
    jobs.submit(job_id(1), two_steps(4, 200))
    jobs.wait_state(job_id(1), "completed")
    rows = jobs.runs()
    first_ends = [ms for w, t, _, ms in rows if w == "done" and ".0.0." in t]
    second_starts = [ms for w, t, _, ms in rows
                     if w == "start" and ".0.1." in t]
    assert len(first_ends) == 4 and len(second_starts) == 4
    assert max(first_ends) <= min(second_starts)


def test_jobs_finish_once_through_kills_of_the_leader(jobs):
    for n in range(6):
        jobs.submit(job_id(n), two_steps(5, 700))
    for _ in range(2):
        time.sleep(0.5)
        leader = jobs.fleet.wait_leader()
        jobs.fleet.processes[leader].kill()
        time.sleep(0.3)
        jobs.fleet.processes[leader].start()
        jobs.fleet.wait_leader()
    for n in range(6):
        jobs.wait_state(job_id(n), "completed", 60)
    done = [t for w, t, _, _ in jobs.runs() if w == "done"]
    assert len(done) == len(set(done)) == 60
    assert jobs.most_at_once() == 1


def test_a_killed_workers_tasks_run_elsewhere(jobs):
    jobs.submit(job_id(1), two_steps(9, 2000))
    jobs.wait_state(job_id(1), "running")
    time.sleep(0.5)
    jobs.fleet.processes["worker0"].kill()
    jobs.wait_state(job_id(1), "completed", 60)


def test_callers_without_a_key_and_unknown_jobs_are_refused(jobs):
    port = jobs.fleet.public_ports["entry0"]
    body = json.dumps(two_steps(1, 10))
    assert http_call(port, "POST", "/jobs/q/" + job_id(1), body)[0] == 401
    assert jobs.call("GET", "/jobs/q/" + job_id(9))[0] == 404
    assert jobs.call("GET", "/jobs/none/" + job_id(9))[0] == 404
    assert jobs.call("POST", "/jobs/q/short", two_steps(1, 10))[0] == 400
    assert jobs.call("POST", "/jobs/q/" + job_id(2), {"Steps": []})[0] == 400
    assert jobs.call("POST", "/jobs/q/" + job_id(2), {"Odd": 1})[0] == 400


def test_operators_submit_look_and_cancel_by_command_line(jobs):
    spec = os.path.join(jobs.fleet.folder, "spec.json")
    with open(spec, "w") as out:
        json.dump(two_steps(2, 60000), out)
    entries = f"127.0.0.1:{jobs.fleet.public_ports['entry0']}"

    def ctl(*words):
        return subprocess.run(
            [os.path.join(BUILD, "almondgate-ctl"), f"--entries={entries}",
             "--key=key-t", *words], capture_output=True, text=True)

    wait_until(lambda: ctl("submit", "q", job_id(5), "--file=" + spec)
               .returncode == 0, 20, "submit")
    jobs.wait_state(job_id(5), "running")
    assert '"running"' in ctl("job", "q", job_id(5)).stdout
    assert ctl("cancel", "q", job_id(5)).returncode == 0
    jobs.wait_state(job_id(5), "cancelled")
    assert ctl("job", "q", job_id(6)).returncode == 1
