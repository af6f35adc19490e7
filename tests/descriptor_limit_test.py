"""Callers' connections leave a process descriptors for everything else."""

import os

import pytest

from fleet import http_call, wait_until
from memory_limit_test import send_to_all
from platform_fleet import PlatformFleet

DESCRIPTORS = 300
CONNECTIONS = 600
MAX_OPEN = 200


@pytest.fixture(scope="module")
def platform():
    fleet = PlatformFleet(0.5)
    for process in fleet.fleet.processes.values():
        process.args = ["sh", "-c", f'ulimit -n {DESCRIPTORS}; exec "$0" "$@"',
                        *process.args]
    with fleet:
        fleet.configure()
        yield fleet


# Guards against a process that can neither accept nor call others, since
# connections that send nothing hold all descriptors.
@pytest.mark.parametrize("name, port, path", [
    ("entry", "entry", "/nowhere/"),
    ("entry", "entry status", "/readyz"),
    ("control", "control", "/wave-get/x"),
    ("control", "control status", "/healthz")])
@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\nHost:"],
                         ids=["nothing", "half a request"])
def test_silent_connections_beyond_the_descriptor_limit(platform, name, port,
                                                        path, data):
    process = platform.fleet.processes[name]
    held = send_to_all(platform.ports[port], data, CONNECTIONS, 1)
    try:
        assert http_call(platform.ports[port], "GET", path, timeout=5)[0] < 500
        assert len(os.listdir(f"/proc/{process.popen.pid}/fd")) < MAX_OPEN
        assert process.alive()
    finally:
        for sock in held:
            sock.close()


def test_a_job_runs_while_silent_connections_stay_open(platform):
    held = send_to_all(platform.ports["entry"], b"", CONNECTIONS, 1)
    held += send_to_all(platform.ports["control"], b"", CONNECTIONS, 1)
    try:
        job = "00000000000000d1"
        platform.submit(job, 1)
        wait_until(lambda: platform.state(job) == "completed", 5,
                   "the job is completed")
    finally:
        for sock in held:
            sock.close()
