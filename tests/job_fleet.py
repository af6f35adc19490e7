"""A fleet of real processes that runs jobs on stand-in workers."""

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


def two_steps(count, run_ms):
    need = {"MilliCpus": 8000, "MemoryMb": 10}
    return {"Content": str(run_ms), "Steps": [
        {"Count": count, "Need": need, "EstimateMs": run_ms},
        {"Count": count, "Need": need, "EstimateMs": run_ms, "After": [0]}]}


def job_id(n):
    return f"{n:016x}"


class JobFleet:
    """A Fleet whose control members run jobs on stand-in workers."""

    def __init__(self, fleet, workers, relayed=False):
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

    def rows(self, worker):
        """(what, task, run, ms) as a worker wrote them down."""
        if not os.path.exists(self.records[worker]):
            return []
        with open(self.records[worker]) as lines:
            split = [line.split() for line in lines]
        return [(w, t, int(r), int(ms)) for w, t, r, ms in split]

    def runs(self):
        """The rows of all workers, by time."""
        rows = [row for i in range(len(self.records)) for row in self.rows(i)]
        return sorted(rows, key=lambda row: row[3])

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
