"""A member that starts again holds what it reads from its disk once."""

import http.client
import json
import re

from fleet import wait_until
from platform_deployment import CALLERS_PORT, HOST, KEY, STATUS_PORT, Deployment

JOBS = 400
JOB = {"task-spec": "x" * 4000, "steps": [
    {"count": 1, "cpu": 1, "memory-request-mb": 1, "estimated-ms": 500,
     "long-running": True}]}


def metric(node, name):
    text = node.call(STATUS_PORT, "GET", "/metrics")[1].decode()
    return int(re.search(rf"^almondgate_{re.escape(name)} (\d+)$", text,
                         re.M).group(1))


def log_bytes(node):
    return metric(node, 'budget_used_bytes{budget="log"}')


def submit_jobs(deployment):
    entry = deployment.of("entry")[0]
    conn = http.client.HTTPConnection(entry.ip, CALLERS_PORT, timeout=10)
    for i in range(JOBS):
        conn.request("POST", f"/one/1{i:015x}", json.dumps(JOB),
                     {"Host": HOST, "Key": KEY})
        answer = conn.getresponse()
        answer.read()
        assert answer.status == 200
    conn.close()


def test_a_restarted_member_holds_its_log_once():
    with Deployment() as d:
        d.configure()
        d.serves("00000000000000b1")
        submit_jobs(d)
        again, other = [n for n in d.of("control")
                        if not metric(n, "control_leads")]
        again.end()
        again.start()

        def caught_up():
            try:
                return (metric(again, "control_jobs_remembered") > JOBS and
                        log_bytes(again) == log_bytes(other) > JOBS * 4000)
            except OSError:
                return False
        wait_until(caught_up, 10, "the member has its log")
        more = (metric(again, "memory_allocated_bytes") -
                metric(other, "memory_allocated_bytes"))
        assert more < log_bytes(other) // 2
