"""What a process writes before it ends, for whoever has only its logs."""

import signal

import pytest

from fleet import Fleet, http_call


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
