"""A fleet of real processes that runs jobs on fake workers."""

import json
import os

from fleet import Fleet, free_port, http_call, wait_until
from relay import Relay

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


def two_step_job(count, run_ms):
    """Returns a job of two steps, the second of which waits for the first.

    `run_ms` is sent as the content, from which the fake worker takes the run
    time of each task.
    """
    need = {"MilliCpus": 8000, "MemoryMb": 10}
    return {"Content": str(run_ms), "Steps": [
        {"Count": count, "Need": need, "EstimateMs": run_ms},
        {"Count": count, "Need": need, "EstimateMs": run_ms, "After": [0]}]}


def job_id(n):
    return f"{n:016x}"


class JobFleet:
    """Adds fake workers to a Fleet and submits jobs to it.

    With `relayed` the control members reach each worker through a Relay. The
    workers are in `zones` in turn.
    """

    def __init__(self, fleet, workers, relayed=False, zones=("",)):
        self.fleet = fleet
        self.records = []
        self.relays = []
        secret = next(a for a in fleet.processes["entry0"].args
                      if a.startswith(SECRET_FLAG))
        control = next(a for a in fleet.processes["entry0"].args
                       if a.startswith("--control="))
        for i in range(workers):
            record = os.path.join(fleet.folder, f"runs-{i}")
            self.records.append(record)
            port = free_port()
            args = [secret, control, f"--listen=127.0.0.1:{port}",
                    f"--vm=w{i}", f"--rack=r{i % 2}", f"--record={record}"]
            # The worker's parser refuses a flag without a value.
            if zones[i % len(zones)]:
                args.append(f"--zone={zones[i % len(zones)]}")
            if relayed:
                self.relays.append(Relay(port))
                fleet.relays[f"worker{i}"] = self.relays[i]
                args.append(f"--announce=127.0.0.1:{self.relays[i].port}")
            fleet._add(f"worker{i}", "fake-worker", args).start()

    def call(self, method, path, body=None, entry="entry0"):
        port = self.fleet.public_ports[entry]
        return http_call(port, method, path,
                         None if body is None else json.dumps(body), KEY)

    def configure(self, content):
        def put():
            return self.fleet.admin("PUT", "fleet", content)[0] == 200
        wait_until(put, 20, "the configuration is accepted")

    def submit(self, job, spec):
        """Submits the job, retrying under the same id until it is accepted."""
        def accepted():
            return self.call("POST", f"/jobs/q/{job}", spec)[0] == 200
        wait_until(accepted, 20, f"job {job} is accepted")

    def state(self, job):
        status, _, body = self.call("GET", f"/jobs/q/{job}")
        return json.loads(body)["State"] if status == 200 else str(status)

    def wait_state(self, job, state, seconds=30):
        wait_until(lambda: self.state(job) == state, seconds,
                   f"job {job} is {state}")

    def rows(self, worker):
        """Returns a worker's records as (event, task, run, wall-clock ms)."""
        if not os.path.exists(self.records[worker]):
            return []
        with open(self.records[worker]) as lines:
            split = [line.split() for line in lines]
        return [(event, task, int(run), int(ms))
                for event, task, run, ms in split]

    def runs(self):
        """Returns the records of all workers, ordered by time."""
        rows = [row for i in range(len(self.records)) for row in self.rows(i)]
        return sorted(rows, key=lambda row: row[3])

    def peak_runs_per_task(self):
        """Returns the largest number of concurrent runs of any one task."""
        open_runs, peak = {}, 0
        for event, task, run, _ in self.runs():
            task_runs = open_runs.setdefault(task, set())
            if event == "start":
                task_runs.add(run)
            else:
                task_runs.discard(run)
            peak = max(peak, len(task_runs))
        return peak
