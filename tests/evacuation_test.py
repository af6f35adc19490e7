"""Evacuation of availability zones with real processes."""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import threading
import time

import pytest

from fleet import BUILD, OPERATOR_KEYS, Fleet, wait_until
from job_fleet import JobFleet, config, job_id, two_step_job
from platform_deployment import (CALLERS_PORT, OPERATORS_PORT, STATUS_PORT,
                                 Deployment)
from platform_fleet import HEARTBEAT_SECONDS, HOST, KEY, Endpoint

ZONE, OTHER = "zone-1", "zone-2"
RUN_SECONDS = 0.2
# As in the platform's settings: no start later than this after the answer.
EVACUATION_SECONDS = 5
# A call is repeated, at any process, for as long.
ACK_TIMEOUT_SECONDS = 4.5
CALL_TIMEOUT_SECONDS = 1
JOB_TASKS = 4
SUBMIT_PAUSE_SECONDS = 0.2


class ZoneEndpoint(Endpoint):
    """An endpoint of a zone that notes when it starts runs."""

    def __init__(self, number, zone):
        super().__init__(RUN_SECONDS)
        self.number, self.zone = number, zone
        self.start_times = []

    def facts(self, **more):
        return super().facts(**{"zone": self.zone,
                                "machine-id": f"m-{self.number}", **more})

    def start(self, call):
        if call["task"] not in self.runs:
            self.start_times.append(time.monotonic())
        return super().start(call)

    def starts_since(self, since):
        return sum(1 for at in list(self.start_times) if at >= since)


class ZonedDeployment(Deployment):
    """A deployment with one endpoint in each of two zones."""

    def __init__(self):
        self.workers = [ZoneEndpoint(1, ZONE), ZoneEndpoint(2, OTHER)]
        super().__init__(entries=1)
        self.next_job = 0

    def answer_services(self, method, path, body):
        return 200, json.dumps({"machines": [
            {"machine-id": f"m-{w.number}", "pool": "s-one", "state": "up",
             "zone": w.zone, "labels": ["a", "r1"], "id": f"i-{w.number}",
             "capacity": w.facts()["capacity"]} for w in self.workers],
            "eligible-workers": [], "next-page-token": ""}).encode()

    def send_heartbeats(self):
        while not self.stopping.wait(HEARTBEAT_SECONDS):
            for w in self.workers:
                try:
                    self.operator("PUT", f"/instances/i-{w.number}", w.facts(),
                                  timeout=CALL_TIMEOUT_SECONDS)
                except OSError:
                    pass  # No member is listening.

    def change(self, method, zone, first=0):
        """Calls the members in turn until one acknowledges, as operators do."""
        began = time.monotonic()
        members = self.of("control")
        turn = first
        while time.monotonic() - began < ACK_TIMEOUT_SECONDS:
            node = members[turn % len(members)]
            turn += 1
            try:
                status, body = node.call(
                    OPERATORS_PORT, method, f"/evacuations/{zone}",
                    timeout=CALL_TIMEOUT_SECONDS)
            except (OSError, http.client.HTTPException):
                time.sleep(0.02)
                continue
            if status // 100 == 2:
                return time.monotonic() - began
            assert status >= 500, (status, body)
        raise AssertionError(f"{method} {zone} is not acknowledged")

    def submit(self, tasks=JOB_TASKS):
        """Submits a job; returns its id, the answer's status and its body."""
        self.next_job += 1
        job = f"{self.next_job:016x}"
        spec = {"task-spec": "x", "steps": [
            {"count": tasks, "cpu": 1000, "memory-request-mb": 1,
             "estimated-ms": 200}]}
        return job, *self.job_call("POST", job, spec)

    def run_jobs(self, seconds):
        """Submits jobs for a while, whatever becomes of them."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                self.submit()
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.1)

    def metric(self, node, name):
        try:
            text = node.call(STATUS_PORT, "GET", "/metrics",
                             timeout=1)[1].decode()
        except (OSError, http.client.HTTPException):
            return -1
        found = re.search(rf"^almondgate_control_{name} (\d+)", text, re.M)
        return int(found.group(1)) if found else -1

    def leader(self):
        def leaders():
            return [n for n in self.of("control")
                    if self.metric(n, "leads") == 1]
        wait_until(lambda: len(leaders()) == 1, 10, "there is one leader")
        return leaders()[0]

    def wait_evacuations(self, count, seconds=10):
        for node in self.of("control"):
            wait_until(lambda n=node: self.metric(n, "evacuations") == count,
                       seconds, f"{node.name} knows {count} evacuations")

    def assert_no_start_since(self, since):
        assert self.workers[0].starts_since(since) == 0

    def wait_both_start(self):
        """Waits until jobs run in both zones."""
        since = time.monotonic()

        def both():
            self.try_submit(tasks=100)
            return all(w.starts_since(since) for w in self.workers)
        wait_until(both, 20, "jobs run in both zones")

    def try_submit(self, tasks=1):
        """Submits a job; returns its answer's status, 0 for none.

        To be repeated: pauses first, so that the stand-ins, which take a
        millisecond a call, don't leave starts unanswered.
        """
        time.sleep(SUBMIT_PAUSE_SECONDS)
        try:
            return self.submit(tasks)[1]
        except (OSError, http.client.HTTPException):
            return 0


@pytest.fixture
def deployment():
    with ZonedDeployment() as d:
        d.configure()
        d.wait_both_start()
        yield d
        assert d.own_ends() == {}, d.peaks_mb()


def test_an_evacuated_zone_gets_no_start_until_the_withdrawal(deployment):
    """Guards against work in a zone that is about to be taken down."""
    d = deployment
    for turn in range(3):
        assert d.change("POST", ZONE, first=turn) < CALL_TIMEOUT_SECONDS
        acknowledged = time.monotonic()
        d.run_jobs(1)
        d.assert_no_start_since(acknowledged + 0.2)
        assert d.workers[1].starts_since(acknowledged) > 0
        assert d.change("DELETE", ZONE,
                        first=turn + 1) < CALL_TIMEOUT_SECONDS
        d.wait_both_start()


def test_a_pool_whose_zones_are_all_evacuated_refuses_jobs(deployment):
    d = deployment
    d.change("POST", ZONE)
    d.change("POST", OTHER, first=1)
    # A leader that has just found its fleet first looks for spare VMs.
    wait_until(lambda: d.try_submit() == 503, 10, "a job is refused")
    status, body = d.submit()[1:]
    assert status == 503 and b"under evacuation" in body
    d.change("DELETE", OTHER, first=2)
    wait_until(lambda: d.try_submit() == 200, 10, "a job is accepted")


def test_invalid_zones_and_too_many_are_refused(deployment):
    node = deployment.of("control")[0]

    def post(zone):
        return node.call(OPERATORS_PORT, "POST", f"/evacuations/{zone}")[0]
    for zone in ("", "z" * 65, "a/b", "%0a", "caf%c3%a9"):
        assert post(zone) == 400, zone
    for i in range(64):
        assert post(f"full-{i}") == 200
    assert post("one-more") == 422
    assert post("full-0") == 200


@pytest.mark.parametrize("turn", range(3))
def test_an_evacuation_survives_a_kill_of_all_members(deployment, turn):
    """Guards against an acknowledgement of what is not on the disks."""
    d = deployment
    d.change("POST", ZONE, first=turn)
    for node in d.of("control"):
        node.end(signal.SIGKILL)
    for node in d.of("control"):
        node.start()
    d.wait_evacuations(1)
    since = time.monotonic()
    d.run_jobs(2)
    wait_until(lambda: d.workers[1].starts_since(since) > 0, 15,
               "jobs run in the other zone")
    d.assert_no_start_since(since)


def test_an_evacuation_survives_a_lost_disk(deployment):
    """Guards against a change that the only disk with it takes along."""
    d = deployment
    node = d.leader()
    d.change("POST", ZONE)
    node.end(signal.SIGKILL)
    data = node.settings["data-directory"]
    shutil.rmtree(data)
    os.mkdir(data)
    node.settings["first-start"] = "false"
    node.start()
    d.wait_evacuations(1, seconds=30)
    assert d.change("POST", ZONE) < ACK_TIMEOUT_SECONDS
    since = time.monotonic()
    d.run_jobs(1)
    d.assert_no_start_since(since)


def test_an_evacuation_survives_a_change_of_leader(deployment):
    d = deployment
    load = threading.Thread(target=d.run_jobs, args=(9,))
    load.start()
    leader = d.leader()
    d.change("POST", ZONE)
    leader.end(signal.SIGKILL)
    assert d.change("POST", ZONE, first=1) < ACK_TIMEOUT_SECONDS
    since = time.monotonic()
    leader.start()
    load.join()
    d.assert_no_start_since(since)
    d.wait_evacuations(1)
    d.change("DELETE", ZONE)
    d.wait_both_start()


def test_a_suspended_leader_starts_nothing_in_the_zone(deployment):
    """Guards against a leader without contact that still gives orders."""
    d = deployment
    load = threading.Thread(target=d.run_jobs, args=(8,))
    load.start()
    leader = d.leader()
    with leader.lock:
        leader.popen.send_signal(signal.SIGSTOP)
    index = d.of("control").index(leader)
    d.change("POST", ZONE, first=index + 1)
    acknowledged = time.monotonic()
    time.sleep(1)
    with leader.lock:
        leader.popen.send_signal(signal.SIGCONT)
    load.join()
    d.assert_no_start_since(acknowledged + 0.5)
    d.wait_evacuations(1)


def send_and_close(node, method, zone):
    with socket.create_connection((node.ip, OPERATORS_PORT), timeout=2) as s:
        s.sendall(f"{method} /evacuations/{zone} HTTP/1.1\r\n"
                  f"host: {node.ip}\r\ncontent-length: 0\r\n\r\n".encode())


@pytest.mark.parametrize("which", ["leader", "follower"])
def test_a_suspended_process_drops_an_old_call(deployment, which):
    """Guards against an old withdrawal that undoes a newer evacuation."""
    d = deployment
    leader = d.leader()
    members = d.of("control")
    node = leader if which == "leader" else next(
        n for n in members if n is not leader)
    other = members.index(node) + 1
    d.change("POST", ZONE)
    with node.lock:
        node.popen.send_signal(signal.SIGSTOP)
    send_and_close(node, "DELETE", ZONE)
    d.change("DELETE", ZONE, first=other)
    d.change("POST", ZONE, first=other)
    with node.lock:
        node.popen.send_signal(signal.SIGCONT)
    time.sleep(2)
    d.wait_evacuations(1)
    since = time.monotonic()
    d.run_jobs(1)
    d.assert_no_start_since(since)


def test_two_operators_at_once(deployment):
    """Guards against an acknowledged change that another one swallows."""
    d = deployment
    failures = []

    def operate(number):
        try:
            for turn in range(10):
                d.change("POST", f"own-{number}", first=turn + number)
                d.change("POST", ZONE, first=turn + number)
                d.change("DELETE", ZONE, first=turn)
                if turn < 9:
                    d.change("DELETE", f"own-{number}", first=turn)
        except AssertionError as e:
            failures.append(e)
    operators = [threading.Thread(target=operate, args=(i,))
                 for i in range(2)]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    assert not failures
    # The own zones were evacuated last, the shared one withdrawn.
    d.wait_evacuations(2)
    d.change("POST", ZONE)
    d.wait_evacuations(3)


def test_operators_of_the_product_evacuate_a_zone():
    """The product's interface: keys, reasons, and the list of open ones."""
    with Fleet(members=3, placers=1, entries=1) as fleet:
        fleet.start()
        jobs = JobFleet(fleet, workers=2, zones=(ZONE, OTHER))
        jobs.configure(config())
        entry = f"127.0.0.1:{fleet.public_ports['entry0']}"

        def ctl(*args, key=OPERATOR_KEYS["alice"]):
            return subprocess.run(
                [os.path.join(BUILD, "almondgate-ctl"), f"--entries={entry}",
                 f"--key={key}", *args], capture_output=True, text=True,
                timeout=60)
        jobs.submit(job_id(1), two_step_job(16, 3000))
        wait_until(lambda: all(jobs.rows(w) for w in (0, 1)), 20,
                   "tasks run in both zones")
        assert ctl("evacuate", ZONE).returncode == 2
        assert ctl("evacuate", ZONE, "--reason=x", key="no").returncode == 1
        assert ctl("evacuations").stdout == ""
        assert ctl("evacuate", ZONE, "--reason=power work").returncode == 0
        started = len(jobs.rows(0))
        shown = ctl("evacuations").stdout
        assert f"{ZONE} by alice since 20" in shown
        assert "power work" in shown and "short, 0 long-running" in shown
        row = json.loads(ctl("evacuations", "--json").stdout)[0]
        assert row["Remaining"][0]["ShortRuns"] > 0
        jobs.wait_state(job_id(1), "completed", 60)
        # Each task that ran there has ended; none has started since.
        starts = [r for r in jobs.rows(0)[started:] if r[0] == "start"]
        assert starts == []
        assert fleet.metric(fleet.wait_leader(),
                            "almondgate_control_evacuations") == 1
        assert ctl("withdraw-evacuation", ZONE,
                   "--reason=over").returncode == 0
        assert ctl("evacuations").stdout == ""
        jobs.submit(job_id(2), two_step_job(16, 200))
        wait_until(lambda: [r for r in jobs.rows(0)[started:]
                            if r[0] == "start"], 20, "the zone is used again")
