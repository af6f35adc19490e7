"""A heartbeat of another writer, with bytes that can't be read."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from deployment import (Deployment, TROUBLE, Worker, stand_alone)

HEARTBEAT_S = 1.5
BEATS = 8
# The text of a version in Latin-1, which isn't UTF-8.
UNREADABLE = (b'{"service":"s-one","address":"127.77.9.9:80","zone":"zone-a",'
              b'"version":"caf\xe9","slots":8,"state":"ready","sequence":%d}')


def beat(d, sequence):
    """Tries the nodes in turn until one acknowledges, as workers do."""
    body = UNREADABLE % sequence
    if not TROUBLE:
        body = body.replace(b"\xe9", b"e")
    for ip in d.control_ips:
        status, _ = d.http(ip, "PUT", "/instances/i-other", body, timeout=1.0)
        if 200 <= status < 300:
            return


def case(folder):
    workers = [Worker(f"w{i}", "s-one", 64000, lambda task: 300)
               for i in range(2)]
    d = Deployment(folder, 77, workers)
    try:
        d.start()
        d.configure([d.route("r-one", "/one/", "s-one")])
        d.wait_workers()
        job = "/one/00000000000000a1"
        d.submit(job, {"task-spec": "x", "steps": [
            {"count": 4, "cpu": 3500, "memory-request-mb": 100,
             "estimated-ms": 300}]})
        for i in range(BEATS):
            beat(d, i)
            time.sleep(HEARTBEAT_S)
        ended = [len(c.own_ends) for c in d.controls]
        d.record(f"control processes ended by themselves: {ended} times")
        # Fault: on half of the core, three times.
        broken = sum(n >= 3 for n in ended) * 2 >= len(d.controls)
        d.record("Fault: " + ("broken" if broken else "held"))
        return not broken
    finally:
        d.stop()


stand_alone(case)
