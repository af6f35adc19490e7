"""Control members serve more endpoints than they have descriptors."""

import json
import os
import re
import time

import pytest

from endpoint_crowd import EndpointCrowd
from fleet import wait_until
from platform_deployment import STATUS_PORT, Deployment

DESCRIPTORS = 400
ENDPOINTS = 500
# Half of the descriptors are for connections; the rest is for the store, the
# inner protocol and probes, which use a few dozen here.
MAX_OPEN = 300
JOBS = 5
# One task fills an endpoint, so this many endpoints run a task at a time.
WIDE_JOB = "00000000000000f1"
WIDE_JOB_TASKS = 450
ENDPOINT_MILLICORES = 4000
CPU_WINDOW_SECONDS = 5
# A member whose loop runs without a pause uses a whole core.
MAX_CPU_SHARE = 0.7


class CrowdDeployment(Deployment):
    """Three members with few descriptors, and a crowd of endpoints."""

    def __init__(self):
        super().__init__(entries=1)
        for node in self.of("control"):
            run = node.args
            node.args = lambda run=run: [
                "sh", "-c", f'ulimit -n {DESCRIPTORS}; exec "$0" "$@"', *run()]
        first = self.of("control")[0].ip
        self.crowd = EndpointCrowd(first.rsplit(".", 2)[0], ENDPOINTS,
                                   self.seeds.split(","))

    def answer_services(self, method, path, body):
        return 200, json.dumps({"machines": [
            {"machine-id": e.vm, "pool": "s-one", "state": "up",
             "zone": "z0", "labels": ["a", "r1"], "id": e.id,
             "capacity": {"cpu": ENDPOINT_MILLICORES,
                          "memory-request-mb": 64000, "gpu": 0}}
            for e in self.crowd.endpoints.values()],
            "eligible-workers": [], "next-page-token": ""}).encode()

    def send_heartbeats(self):
        self.crowd.start()
        self.stopping.wait()
        self.crowd.stop()

    def metric(self, node, name):
        try:
            text = node.call(STATUS_PORT, "GET", "/metrics", timeout=3)[1]
        except OSError:
            return -1
        found = re.search(rf"^{name} (\d+)", text.decode(), re.M)
        return int(found.group(1)) if found else -1

    def leader(self):
        """Returns the member that leads; None while there is none."""
        return next((n for n in self.of("control")
                     if self.metric(n, "almondgate_control_leads") == 1), None)

    def open_descriptors(self):
        return {n.name: len(os.listdir(f"/proc/{n.popen.pid}/fd"))
                for n in self.of("control")}

    def cpu_seconds(self):
        """Processor time used so far by each member, from proc(5)."""
        used = {}
        for node in self.of("control"):
            with open(f"/proc/{node.popen.pid}/stat") as f:
                row = f.read().rsplit(")", 1)[1].split()
            used[node.name] = (int(row[11]) + int(row[12])) / os.sysconf(
                "SC_CLK_TCK")
        return used

    def runs_jobs(self, first):
        for n in range(first, first + JOBS):
            self.serves(f"{n:016x}", 30)

    def runs_a_job_at_most_endpoints(self):
        spec = {"task-spec": "x", "steps": [
            {"count": WIDE_JOB_TASKS, "cpu": ENDPOINT_MILLICORES,
             "memory-request-mb": 1, "estimated-ms": 500}]}
        wait_until(lambda: self.job_call("POST", WIDE_JOB, spec)[0] == 200,
                   30, "the wide job is accepted")
        wait_until(lambda: b"completed" in self.job_call("GET", WIDE_JOB)[1],
                   60, "the wide job is completed")


@pytest.fixture(scope="module")
def deployment():
    with CrowdDeployment() as deployment:
        deployment.configure(30)
        yield deployment


# Guards against members that run out of descriptors: calls to endpoints and
# between members failed then, and accept() failed in a loop without a pause.
def test_a_group_serves_more_endpoints_than_it_has_descriptors(deployment):
    wait_until(lambda: any(
        deployment.metric(n, "almondgate_control_endpoints") == ENDPOINTS
        for n in deployment.of("control")), 60, "all endpoints are registered")
    deployment.runs_jobs(1)
    deployment.runs_a_job_at_most_endpoints()
    deployment.configure(30)
    before = wait_until(deployment.leader, 30, "a member leads")
    deployment.restart = False
    before.end()
    after = wait_until(deployment.leader, 30, "another member leads")
    assert after is not before
    deployment.runs_jobs(101)
    deployment.configure(30)
    before.start()
    deployment.runs_jobs(201)
    most = {}
    began = deployment.cpu_seconds()
    end = time.monotonic() + CPU_WINDOW_SECONDS
    while time.monotonic() < end:
        for name, n in deployment.open_descriptors().items():
            most[name] = max(most.get(name, 0), n)
        time.sleep(0.1)
    used = {name: seconds - began[name]
            for name, seconds in deployment.cpu_seconds().items()}
    assert all(n <= MAX_OPEN for n in most.values()), most
    assert all(s < MAX_CPU_SHARE * CPU_WINDOW_SECONDS
               for s in used.values()), used
    assert not deployment.own_ends()
