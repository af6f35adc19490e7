"""Tests of full disks.

A member with a full disk keeps running and acknowledges changes again once
there is space.
"""

import concurrent.futures
import resource
import time

import pytest

from fleet import Fleet, wait_until

# File size limit in bytes that simulates a full disk: no file may grow beyond
# it, so every write fails.
FULL_DISK_BYTES = 1


@pytest.fixture
def fleet():
    with Fleet() as f:
        f.start()
        f.simple_pool()
        yield f


def set_full(fleet, name, full):
    limit = FULL_DISK_BYTES if full else resource.RLIM_INFINITY
    pid = fleet.processes[name].popen.pid
    resource.prlimit(pid, resource.RLIMIT_FSIZE,
                     (limit, resource.RLIM_INFINITY))


def test_disks_full_in_turn_end_no_member_and_refuse_no_later_change(fleet):
    pids = {n: fleet.processes[n].popen.pid for n in ("c0", "c1", "c2")}
    leader = fleet.wait_leader()
    order = [leader] + [n for n in pids if n != leader]
    for name in order:
        set_full(fleet, name, True)
        # The other two members still acknowledge changes.
        for n in range(5):
            fleet.put(("team", {"Id": f"{name}-{n}", "Share": 1, "Limit": 1}))
        wait_until(lambda: fleet.metric(name, "almondgate_control_disk_full"),
                   5, f"{name} reports a full disk")
        time.sleep(1)
        set_full(fleet, name, False)
        wait_until(
            lambda: not fleet.metric(name, "almondgate_control_disk_full"),
            5, f"{name} no longer reports a full disk")
    for n in range(5):
        fleet.put(("team", {"Id": f"after-{n}", "Share": 1, "Limit": 1}))
    teams = {t["Id"] for t in fleet.table("teams")}
    assert {f"{name}-{n}" for name in pids for n in range(5)} <= teams
    assert {f"after-{n}" for n in range(5)} <= teams
    assert pids == {n: fleet.processes[n].popen.pid for n in pids}
    assert all(fleet.processes[n].alive() for n in pids)


def test_a_quorum_of_full_disks_acknowledges_again_with_room(fleet):
    for name in ("c0", "c1"):
        set_full(fleet, name, True)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        change = pool.submit(
            fleet.try_change, "put",
            {"Records": [{"Kind": "team",
                          "Body": {"Id": "meanwhile", "Share": 1, "Limit": 1}}]})
        time.sleep(3)
        assert all(fleet.processes[n].alive() for n in ("c0", "c1", "c2"))
        for name in ("c0", "c1"):
            set_full(fleet, name, False)
        change.result()
    fleet.wait_leader()
    fleet.put(("team", {"Id": "after", "Share": 1, "Limit": 1}))
    assert "after" in {t["Id"] for t in fleet.table("teams")}
