"""What a process writes before it ends, for whoever has only its logs."""

import re
import signal
import time

import pytest

from fleet import Fleet, http_call
from platform_deployment import memory_kb


LIMIT_MB = 256
LAUNCHER_MB = 200
# The first check of the peak is 1 s after the start.
CHECKED_SECONDS = 1.5
NAMES = ["c0", "placer0", "entry0"]


@pytest.fixture
def fleet():
    with Fleet(members=1, placers=1, entries=1) as f:
        f.start()
        yield f


def test_a_process_that_ends_by_a_signal_names_it(fleet):
    for name in NAMES:
        process = fleet.processes[name]
        process.signal(signal.SIGABRT)
        process.popen.wait(10)
        assert "ended by SIGABRT" in process.log_text()


def test_a_planned_stop_logs_exit_code_and_peak_memory(fleet):
    process = fleet.processes["c0"]
    assert process.stop() == 0
    assert "exit code 0; peak memory" in process.log_text()


def test_metrics_show_memory_beside_its_limit(fleet):
    for name in NAMES:
        port = fleet.status_ports[name]
        text = http_call(port, "GET", "/metrics")[2].decode()
        rows = dict(r.rsplit(" ", 1) for r in text.splitlines() if " " in r)
        limit = int(rows["almondgate_memory_limit_bytes"])
        assert 0 < int(rows["almondgate_memory_peak_bytes"]) < limit


def peak_kb(fleet, name):
    port = fleet.status_ports[name]
    text = http_call(port, "GET", "/metrics")[2].decode()
    return int(re.search(r"almondgate_memory_peak_bytes (\d+)",
                         text).group(1)) >> 10


def test_peak_memory_leaves_out_the_process_that_started_this_one():
    """A restart by a launcher that holds more than half of the limit."""
    held = bytearray(b"x") * (LAUNCHER_MB << 20)
    with Fleet(members=1, placers=1, entries=1) as fleet:
        for process in fleet.processes.values():
            process.args.append(f"--memory-limit-mb={LIMIT_MB}")
        fleet.start()
        time.sleep(CHECKED_SECONDS)
        assert len(held) == LAUNCHER_MB << 20
        for name in NAMES:
            process = fleet.processes[name]
            peak = peak_kb(fleet, name)
            # The kernel's own count may be off by some pages per processor.
            assert 0 < peak <= memory_kb(process.popen.pid, "VmHWM") + 1024
            assert "peak memory passed" not in process.log_text()
