"""A route is removed and added again; in between the leader is killed."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from deployment import (Deployment, TROUBLE, Worker, stand_alone)

FINISH_S = 14
IDLE_S = 3


def case(folder):
    workers = [Worker(f"w{i}", "s-one", 64000, lambda task: 2500)
               for i in range(3)]
    d = Deployment(folder, 79, workers)
    try:
        d.start()
        both = [d.route("r-one", "/one/", "s-one"),
                d.route("r-two", "/two/", "s-one")]
        d.configure(both)
        d.wait_workers()
        time.sleep(1)
        job = "/one/00000000000000c1"
        d.submit(job, {"task-spec": "x", "steps": [
            {"count": 4, "cpu": 3500, "memory-request-mb": 100,
             "estimated-ms": 2500},
            {"count": 4, "cpu": 3500, "memory-request-mb": 100,
             "estimated-ms": 2500, "after": [0]}]})
        time.sleep(1)
        d.configure(both[1:])
        if TROUBLE:
            leader = d.leader()
            leader.kill()
            time.sleep(3)
            leader.release()
        d.leader()
        time.sleep(1)
        d.configure(both)
        # The end of the traffic; from finish_s after it the job is asked for.
        time.sleep(FINISH_S)
        states, idle_since, idle = [], time.monotonic(), 0
        for _ in range(12):
            states.append(d.get(job))
            now = time.monotonic()
            if states[-1] == "completed" or any(w.runs for w in workers):
                idle_since = now
            idle = max(idle, now - idle_since)
            time.sleep(0.5)
        free = sum(w.cpu for w in workers)
        d.record(f"states: {states}; nothing of the job ran for {idle:.1f} s "
                 f"while {free} thousandths of a core were free")
        broken = idle >= IDLE_S
        d.record("LOST: " + ("broken" if broken else "held"))
        return not broken
    finally:
        d.stop()


stand_alone(case)
