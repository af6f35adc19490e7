"""Tests of the guarantees that must hold under faults and races.

The faults are planned stops, kills, freezes, network cuts and lost disks.
"""

import concurrent.futures
import json
import shutil
import signal
import time

import pytest

from fleet import Fleet, sha256, wait_until
from load import Load

# Maximum time until a withdrawal or a lowered limit is in force everywhere.
BOUND_SECONDS = 3.0
# The bound, one heartbeat, and the time the test itself needs for its request.
BOUND_WITH_SLACK = BOUND_SECONDS + 1.5


@pytest.fixture
def fleet():
    with Fleet() as f:
        f.start()
        f.simple_pool()
        yield f


def assert_consistent(load, run_counts, allowed=("answered",)):
    """Checks the outcomes of a load against what the endpoints ran.

    Every outcome is an allowed one, every answered request ran, every request
    refused as not run did not run, and no POST ran twice.
    """
    unexpected = {r: o for r, o in load.outcomes.items() if o not in allowed}
    assert not unexpected, unexpected
    assert load.count("answered") > 50
    for request, outcome in load.outcomes.items():
        if outcome == "answered":
            assert run_counts.get(request, 0) >= 1, request
        elif outcome.endswith("not-run"):
            assert run_counts.get(request, 0) == 0, request
    repeated = {r: n for r, n in run_counts.items()
                if n > 1 and r.startswith("POST")}
    assert not repeated, repeated


# --- planned stops


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_planned_stops_cut_no_request(fleet, method):
    load = Load(fleet, "q", "key-t", method=method, ms=20)
    try:
        for name in ["entry0", "placer0", "c0", "entry1", "placer1", "c1", "c2"]:
            assert fleet.processes[name].stop() == 0, name
            fleet.processes[name].start()
            fleet.wait_ready(name)
            time.sleep(0.3)
    finally:
        load.stop()
    assert_consistent(load, fleet.run_counts())


def test_stops_within_a_second_of_each_other_cut_no_request(fleet):
    load = Load(fleet, "q", "key-t", method="POST", ms=20)
    try:
        time.sleep(0.5)
        for name in ["entry0", "placer0", "c0"]:
            fleet.processes[name].signal(signal.SIGTERM)
            time.sleep(0.3)
        for name in ["entry0", "placer0", "c0"]:
            assert fleet.processes[name].popen.wait(30) == 0, name
            fleet.processes[name].start()
            fleet.wait_ready(name)
        time.sleep(0.5)
    finally:
        load.stop()
    assert_consistent(load, fleet.run_counts())


def test_an_endpoint_that_leaves_gets_no_new_work(fleet):
    load = Load(fleet, "q", "key-t", method="POST", ms=20)
    try:
        time.sleep(0.5)
        assert fleet.processes["p-vm0"].stop() == 0
        time.sleep(0.5)
    finally:
        load.stop()
    unexpected = {r: o for r, o in load.outcomes.items() if o != "answered"}
    assert not unexpected, unexpected


# --- kills


def test_a_killed_placer_cuts_and_doubles_nothing(fleet):
    name = fleet.owner_of("p")
    load = Load(fleet, "q", "key-t", method="POST", ms=20)
    try:
        time.sleep(0.5)
        fleet.processes[name].kill()
        time.sleep(6)
    finally:
        load.stop()
    assert_consistent(load, fleet.run_counts())


def test_a_killed_control_leader_stops_no_request(fleet):
    load = Load(fleet, "q", "key-t", method="POST", ms=20)
    try:
        time.sleep(0.5)
        name = fleet.wait_leader()
        fleet.processes[name].kill()
        began = time.monotonic()
        fleet.wait_leader()
        leaderless = time.monotonic() - began
        time.sleep(2)
    finally:
        load.stop()
    assert leaderless < 2.0
    assert_consistent(load, fleet.run_counts())


def test_a_killed_entry_dooms_only_what_it_held(fleet):
    load = Load(fleet, "q", "key-t", method="POST", ms=30)
    try:
        time.sleep(0.5)
        fleet.processes["entry1"].kill()
        time.sleep(2)
        fleet.processes["entry1"].start()
        fleet.wait_ready("entry1")
        time.sleep(4)
    finally:
        load.stop()
    # The load has eight threads, so the entry held at most eight requests.
    disconnected = [o for o in load.outcomes.values()
                    if o.startswith("disconnected")]
    assert len(disconnected) <= 8
    others = {o for o in load.outcomes.values()
              if not o.startswith("disconnected")}
    assert others == {"answered"}
    assert not [r for r, n in fleet.run_counts().items() if n > 1]


@pytest.mark.parametrize("first", [0, 1, 2])
def test_each_member_killed_in_turn_loses_no_change(fleet, first):
    names = []
    for i in range(3):
        victim = f"c{(first + i) % 3}"
        fleet.processes[victim].kill()
        wait_until(fleet.leader, 5, f"a leader without {victim}")
        for n in range(5):
            team = f"t{first}-{i}-{n}"
            fleet.put(("team", {"Id": team, "Share": 1, "Limit": 1}))
            names.append(team)
        fleet.processes[victim].start()
        fleet.wait_ready(victim)
    assert set(names) <= {t["Id"] for t in fleet.table("teams")}


def test_hundreds_of_changes_survive_a_restart_of_all(fleet):
    for n in range(300):
        fleet.put(("team", {"Id": f"many-{n}", "Share": 1, "Limit": n}))
    revision = fleet.admin("GET", "teams")[1]["Revision"]
    for i in range(3):
        fleet.processes[f"c{i}"].kill()
    for i in range(3):
        fleet.processes[f"c{i}"].start()
    fleet.wait_leader()
    fleet.wait_serving("q", "key-t")
    status, answer = fleet.admin("GET", "teams")
    assert answer["Revision"] >= revision
    teams = {t["Body"]["Id"]: t["Body"]["Limit"] for t in answer["Items"]}
    assert all(teams[f"many-{n}"] == n for n in range(300))


# --- lost disks


def test_a_lost_disk_is_replaced_and_a_second_loss_survived(fleet):
    for n in range(20):
        fleet.put(("team", {"Id": f"before-{n}", "Share": 1, "Limit": 1}))
    victim = next(n for n in ("c0", "c1", "c2") if n != fleet.wait_leader())
    process = fleet.processes[victim]
    process.kill()
    shutil.rmtree(fleet.data_folder(victim))
    process.start()
    time.sleep(1)
    # Restarted with a new identity it has no vote, so it reports not ready.
    assert not fleet.is_ready(victim)
    port = int(next(a for a in process.args if a.startswith("--inner="))
               .rsplit(":", 1)[1])
    status, answer = fleet.admin(
        "POST", "members/replace",
        {"Old": victim, "Inner": {"Ip": "127.0.0.1", "Port": port}})
    assert status == 200, answer
    fleet.wait_ready(victim)
    members = [m["Id"] for m in fleet.admin("GET", "members")[1]["Members"]]
    assert victim not in members and len(members) == 3
    # Right after the replacement a second member is lost permanently.
    second = next(n for n in ("c0", "c1", "c2") if n != victim)
    fleet.processes[second].kill()
    shutil.rmtree(fleet.data_folder(second))
    fleet.wait_leader()
    fleet.put(("team", {"Id": "after", "Share": 1, "Limit": 1}))
    teams = {t["Id"] for t in fleet.table("teams")}
    assert {f"before-{n}" for n in range(20)} | {"after"} <= teams


# --- freezes


def test_a_frozen_leader_wakes_and_takes_nothing_back(fleet):
    name = fleet.wait_leader()
    fleet.processes[name].signal(signal.SIGSTOP)
    wait_until(lambda: other_leader(fleet, name), 5,
               f"a member other than {name} leads")
    fleet.put(("team", {"Id": "while-frozen", "Share": 1, "Limit": 1}))
    time.sleep(5)
    fleet.processes[name].signal(signal.SIGCONT)
    time.sleep(1)
    assert "while-frozen" in {t["Id"] for t in fleet.table("teams")}
    fleet.put(("team", {"Id": "after-wake", "Share": 1, "Limit": 1}))
    assert fleet.leader() is not None


def other_leader(fleet, frozen):
    for name in ("c0", "c1", "c2"):
        if name != frozen and fleet.metric(name, "almondgate_control_leads") == 1:
            return name
    return None


def test_a_frozen_placer_wakes_and_grants_nothing(fleet):
    name = fleet.owner_of("p")
    load = Load(fleet, "q", "key-t", method="POST", ms=20)
    try:
        time.sleep(0.5)
        fleet.processes[name].signal(signal.SIGSTOP)
        time.sleep(7)
        fleet.processes[name].signal(signal.SIGCONT)
        time.sleep(2)
    finally:
        load.stop()
    assert_consistent(load, fleet.run_counts())
    assert fleet.owner_of("p") != name


# --- cuts


def test_a_withdrawn_key_stops_at_an_entry_that_is_cut_off(fleet):
    fleet.add_entry("entry9", relayed=True)
    fleet.processes["entry9"].start()
    fleet.wait_ready("entry9")
    wait_until(lambda: fleet.call("q", "key-t", entry="entry9")[0] == 200, 5,
               "entry9 serves the queue")
    for relay in fleet.relays["entry9"]:
        relay.cut("both")
    fleet.change("withdraw-key", {"Hash": sha256("key-t")})
    withdrawn = time.monotonic()
    time.sleep(BOUND_WITH_SLACK)
    status, headers, _ = fleet.call("q", "key-t", entry="entry9")
    assert (status, headers["almondgate-outcome"]) == (503, "not-run")
    assert fleet.call("q", "key-t", entry="entry0")[0] == 401
    assert time.monotonic() - withdrawn < 2 * BOUND_WITH_SLACK
    for relay in fleet.relays["entry9"]:
        relay.heal()
    wait_until(lambda: fleet.call("q", "key-t", entry="entry9")[0] == 401, 10,
               "entry9 refuses the withdrawn key after the cut")


def test_a_leader_that_is_cut_off_confirms_nothing():
    with Fleet(relay_members=True) as fleet:
        fleet.start()
        fleet.simple_pool()
        old = fleet.wait_leader()
        # The others can't reach the leader. It is also frozen until another
        # member leads, and then wakes up still cut off.
        for name, relay in fleet.relays.items():
            if name == old:
                relay.cut("both")
        fleet.processes[old].signal(signal.SIGSTOP)
        wait_until(lambda: other_leader(fleet, old), 5,
                   f"a member other than {old} leads")
        fleet.processes[old].signal(signal.SIGCONT)
        fleet.put(("team", {"Id": "behind-cut", "Share": 1, "Limit": 1}))
        fleet.relays[old].heal()
        time.sleep(1.5)
        assert "behind-cut" in {t["Id"] for t in fleet.table("teams")}
        assert fleet.call("q", "key-t")[0] == 200


# --- limits


@pytest.mark.parametrize("fault", ["none", "kill", "freeze"])
def test_a_lowered_limit_holds_through_a_change_of_owner(fault):
    """Halves the limit of a team with more work in two pools than it allows."""
    with Fleet() as fleet:
        fleet.start()
        fleet.simple_pool(limit=12, vms=2)
        fleet.put(("pool", {"Id": "p2"}),
                  ("queue", {"Id": "q2", "Pool": "p2", "Team": "t"}))
        for i in range(2):
            fleet.add_endpoint(f"p2-vm{i}", "p2")
        fleet.wait_serving("q2", "key-t")
        loads = [Load(fleet, q, "key-t", threads=12, ms=300, name=q)
                 for q in ("q", "q2")]
        try:
            wait_until(lambda: fleet.running("t") >= 10, 10,
                       "team t runs at least 10 of its 12 requests")
            begin = time.monotonic()
            time.sleep(0.5)
            assert fleet.peak_running("t", begin, time.monotonic()) <= 12
            if fault != "none":
                fleet.processes[fleet.owner_of("p")].signal(
                    signal.SIGKILL if fault == "kill" else signal.SIGSTOP)
            fleet.put(("team", {"Id": "t", "Share": 1, "Limit": 6}))
            # The new limit is in force within the bound. Requests that were
            # already running finish normally.
            time.sleep(BOUND_WITH_SLACK)
            begin = time.monotonic()
            time.sleep(6)
            end = time.monotonic()
            assert fleet.peak_running("t", begin, end) <= 6
            assert fleet.peak_running("t", end - 1, end) >= 4, \
                "the lowered limit is not used"
        finally:
            for process in fleet.processes.values():
                if process.alive():
                    process.signal(signal.SIGCONT)
            for load in loads:
                load.stop()
        assert all(n <= 1 for r, n in fleet.run_counts().items()
                   if not r.startswith("q"))


# --- operator races


def test_equal_numbers_and_resends(fleet):
    body = {"Records": [{"Kind": "team", "Body": {"Id": "raced", "Limit": 1}}]}
    first = fleet.try_change("put", body, number=42)
    assert first[0] == 200
    # Resent through another entry after the leader was killed.
    fleet.processes[fleet.wait_leader()].kill()
    fleet.wait_leader()
    assert fleet.try_change("put", body, number=42, entry="entry1") == first
    other = {"Records": [{"Kind": "team", "Body": {"Id": "raced", "Limit": 2}}]}
    assert fleet.try_change("put", other, number=42)[0] == 409
    assert fleet.try_change("put", other, number=42, operator="bob")[0] == 200


def test_one_of_two_racing_operators_wins(fleet):
    for n in range(10):
        revision = fleet.admin("GET", "teams")[1]["Revision"]

        def change(who):
            body = {"Records": [{"Kind": "team",
                                 "Body": {"Id": f"race-{n}", "Limit": 1}}]}
            return fleet.try_change("put", body, operator=who, number=1000 + n,
                                    expected=revision)[0]

        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            results = sorted(pool.map(change, ["alice", "bob"]))
        assert results == [200, 409]


def test_a_raced_move_leaves_the_vm_in_one_pool(fleet):
    fleet.put(("pool", {"Id": "x"}), ("pool", {"Id": "y"}))

    def move(target):
        return fleet.try_change(
            "move-vm", {"Vm": "p-vm0", "From": "p", "To": target},
            operator="alice" if target == "x" else "bob", number=77)[0]

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        results = sorted(pool.map(move, ["x", "y"]))
    assert results == [200, 409]
    assert [v["Pool"] for v in fleet.table("vms")].count("p") == 1


# --- non-idempotent requests


def test_a_resent_request_with_a_key_runs_once(fleet):
    headers = {"idempotency-key": "order-1"}
    first = fleet.call("q", "key-t", "/work?id=order-1", "POST", b"x", headers)
    assert first[0] == 200
    resent = fleet.call("q", "key-t", "/work?id=order-1", "POST", b"x", headers,
                        entry="entry1")
    assert resent[0] == 409 and resent[1]["almondgate-outcome"] == "unknown"
    assert "status 200" in json.loads(resent[2])["detail"]
    other = fleet.call("q", "key-t", "/work?id=order-2", "POST", b"y", headers)
    assert other[0] == 409
    assert fleet.run_counts().get("order-1") == 1
    assert "order-2" not in fleet.run_counts()


@pytest.mark.parametrize("victim", ["entry0", "placer", "leader"])
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_a_request_with_a_key_runs_once_through_faults(fleet, victim, number):
    """Sends requests while a process is killed or frozen, then resends each."""
    name = victim
    if victim == "leader":
        name = fleet.wait_leader()
    if victim == "placer":
        name = fleet.owner_of("p")

    def send(i, entry):
        headers = {"idempotency-key": f"k{i}"}
        try:
            return fleet.call("q", "key-t", f"/work?id=once-{i}&ms=100", "POST",
                              b"x", headers, entry=entry, timeout=3)[0]
        except OSError:
            return 0

    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        sent = [pool.submit(send, i, "entry0") for i in range(12)]
        time.sleep(0.05)
        fleet.processes[name].signal(number)
        [s.result() for s in sent]
        time.sleep(5)
        results = list(pool.map(lambda i: send(i, "entry1"), range(12)))
    if number == signal.SIGSTOP:
        fleet.processes[name].signal(signal.SIGCONT)
        time.sleep(1)
    assert all(r in (200, 409) for r in results), results
    counts = fleet.run_counts()
    assert all(counts.get(f"once-{i}", 0) <= 1 for i in range(12)), counts
