"""A task fails once of the three times that it may, while its route is away."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from deployment import (Deployment, TROUBLE, Worker, stand_alone)

MAX_ATTEMPTS = 3
RUN_MS = 2000


class FailingWorker(Worker):
    """The first run of the task with index 0 fails by its own fault."""

    def end(self, task, how):
        first = task.endswith(".0") and self.runs[task][0] == 1
        super().end(task, "failed" if first and how == "done" else how)


def case(folder):
    workers = [FailingWorker(f"w{i}", "s-one", 64000, lambda task: RUN_MS)
               for i in range(3)]
    d = Deployment(folder, 85, workers)
    try:
        d.start()
        both = [d.route("r-one", "/one/", "s-one", **{
                    "max-attempts": MAX_ATTEMPTS}),
                d.route("r-two", "/two/", "s-one")]
        d.configure(both)
        d.wait_workers()
        time.sleep(1)
        job = "/one/00000000000000e1"
        d.submit(job, {"task-spec": "x", "steps": [
            {"count": 4, "cpu": 3500, "memory-request-mb": 100,
             "estimated-ms": RUN_MS}]})
        time.sleep(0.5)
        if TROUBLE:
            d.configure(both[1:])
        time.sleep(3)
        if TROUBLE:
            d.configure(both)
        end = time.monotonic() + 15
        state = d.get(job)
        while state not in ("failed", "completed") and time.monotonic() < end:
            time.sleep(0.5)
            state = d.get(job)
        failures = {}
        for w in workers:
            for _, task, run, how in w.ends:
                if how == "failed":
                    failures[task] = failures.get(task, 0) + 1
        d.record(f"state {state}; ends `failed` by task: {failures}, "
                 f"max-attempts {MAX_ATTEMPTS}")
        broken = state == "failed" and max(failures.values()) < MAX_ATTEMPTS
        d.record("LOST: " + ("broken" if broken else "held"))
        return not broken
    finally:
        d.stop()


stand_alone(case)
