"""Tests of almondgate-ctl against a running fleet, including waves."""

import json
import os
import subprocess
import time

import pytest

from fleet import BUILD, OPERATOR_KEYS, Fleet, http_call, wait_until
from load import Load


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as f:
        f.start()
        f.simple_pool(vms=6)
        yield f


def ctl(fleet, *args, key="alice"):
    entries = ",".join(f"127.0.0.1:{fleet.public_ports[e]}"
                       for e in ("entry0", "entry1"))
    env = dict(os.environ, ALMONDGATE_ENTRIES=entries,
               ALMONDGATE_OPERATOR_KEY=OPERATOR_KEYS.get(key, key))
    done = subprocess.run([os.path.join(BUILD, "almondgate-ctl"), *args],
                          env=env, capture_output=True, text=True, timeout=90)
    return done.returncode, done.stdout, done.stderr


def test_tables(fleet):
    code, out, _ = ctl(fleet, "get", "pools")
    assert code == 0 and out.splitlines()[0].split() == ["Id", "Spare"]
    code, out, _ = ctl(fleet, "get", "vms", "--json")
    assert len(json.loads(out)["Items"]) == 6


@pytest.mark.parametrize("args, code", [
    (["get", "nothing"], 1),
    (["frobnicate"], 2),
    (["describe", "pools", "none"], 1),
    (["move", "p-vm0", "--from=elsewhere", "--to=p"], 3),
    (["apply", "--file=/no/such/file"], 2),
])
def test_exit_codes(fleet, args, code):
    assert ctl(fleet, *args)[0] == code


def test_a_wrong_key_is_refused(fleet):
    assert ctl(fleet, "get", "pools", key="nobody")[0] == 1


def test_no_entry(fleet):
    done = subprocess.run(
        [os.path.join(BUILD, "almondgate-ctl"), "--entries=127.0.0.1:1", "get",
         "pools"], capture_output=True, timeout=60)
    assert done.returncode == 4


def test_apply_and_dry_run(fleet, tmp_path):
    file = tmp_path / "records.json"
    file.write_text(json.dumps(
        [{"Kind": "team", "Body": {"Id": "applied", "Share": 2, "Limit": 3}}]))
    code, out, _ = ctl(fleet, "apply", f"--file={file}", "--dry-run")
    assert code == 0 and "would be" in out
    assert "applied" not in ctl(fleet, "get", "teams")[1]
    assert ctl(fleet, "apply", f"--file={file}", "--reason=test")[0] == 0
    assert "applied" in ctl(fleet, "get", "teams")[1]
    assert '"Limit": 3' in ctl(fleet, "describe", "teams", "applied")[1]
    code, out, _ = ctl(fleet, "audit")
    assert code == 0 and "alice" in out


def test_keys(fleet):
    code, out, _ = ctl(fleet, "grant", "t")
    key = out.split()[-1]
    assert code == 0
    assert fleet.call("q", key)[0] == 200
    assert ctl(fleet, "withdraw", key)[0] == 0
    wait_until(lambda: fleet.call("q", key)[0] == 401, 3,
               "the withdrawn key is refused")
    assert key not in fleet.admin("GET", "keys")[1].__repr__()


def test_a_resend_by_number(fleet):
    args = ["vm", "active", "p-vm0", "--number=5", "--reason=x"]
    first = ctl(fleet, *args)
    assert first[0] == 0 and ctl(fleet, *args) == first
    assert ctl(fleet, "vm", "active", "p-vm1", "--number=5")[0] == 3


def test_members(fleet):
    code, out, _ = ctl(fleet, "members")
    assert code == 0 and all(n in out for n in ("c0", "c1", "c2"))


def test_a_reboot_wave_keeps_the_budget_and_cuts_nothing(fleet):
    load = Load(fleet, "q", "key-t", method="POST", ms=30)
    max_unavailable = 0
    rebooted = set()
    try:
        assert ctl(fleet, "wave", "create", "w1", "--kind=reboot",
                   "--pool=p")[0] == 0
        end = time.monotonic() + 60
        while time.monotonic() < end:
            vms = fleet.table("vms")
            max_unavailable = max(max_unavailable,
                                  sum(v["Phase"] != "active" for v in vms))
            for vm in vms:
                if vm["Phase"] == "released" and vm["Id"] not in rebooted:
                    rebooted.add(vm["Id"])
                    http_call(fleet.public_ports[vm["Id"]], "GET", "/restart")
            wave = next(w for w in fleet.table("waves") if w["Id"] == "w1")
            if wave["Status"] == "done":
                break
            time.sleep(0.05)
    finally:
        load.stop()
    assert wave["Status"] == "done", wave
    assert max_unavailable == 1  # 20 % of six VMs, rounded down
    assert rebooted == {f"p-vm{i}" for i in range(6)}
    assert set(load.outcomes.values()) == {"answered"}
    assert not [r for r, n in fleet.run_counts().items()
                if n > 1 and r.startswith("POST")]
    code, out, err = ctl(fleet, "wave", "status", "w1", "--watch")
    assert code == 0 and "done" in out, err


def test_a_wave_goes_on_under_a_new_leader(fleet):
    assert ctl(fleet, "wave", "create", "w2", "--kind=drain", "--rack=r0")[0] == 0
    wait_until(lambda: any(v["Phase"] == "released" for v in fleet.table("vms")),
               20, "the first VM is released")
    code, out, _ = ctl(fleet, "wave", "status", "w2")
    assert code == 0 and "waits for the budget of p" in out
    victim = fleet.wait_leader()
    fleet.processes[victim].kill()
    fleet.wait_leader()
    fleet.processes[victim].start()
    # A drained VM uses the whole budget until an operator sets it to active.
    drained = set()

    def done():
        for vm in fleet.table("vms"):
            if vm["Phase"] == "released":
                drained.add(vm["Id"])
                fleet.change("set-vm-phase", {"Vm": vm["Id"], "Phase": "active"})
        return next(w for w in fleet.table("waves")
                    if w["Id"] == "w2")["Status"] == "done"

    wait_until(done, 40, "wave w2 is done")
    assert drained == {"p-vm0", "p-vm2", "p-vm4"}
