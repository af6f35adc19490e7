"""Tests of jobs on the real processes: step order, kills, refusals and ctl."""

import json
import os
import signal
import subprocess
import time

import pytest

from fleet import BUILD, OPERATOR_KEYS, Fleet, http_call, wait_until
from job_fleet import JobFleet, config, job_id, two_step_job


@pytest.fixture
def jobs():
    with Fleet(members=3, placers=1, entries=1) as fleet:
        fleet.start()
        out = JobFleet(fleet, workers=3)
        out.configure(config())
        yield out


def test_a_job_of_two_steps_runs_in_order(jobs):
    jobs.submit(job_id(1), two_step_job(4, 200))
    jobs.wait_state(job_id(1), "completed")
    rows = jobs.runs()
    # Tasks are written as JOB.OCCURRENCE.STEP.INDEX.
    first_ends = [ms for event, task, _, ms in rows
                  if event == "done" and ".0.0." in task]
    second_starts = [ms for event, task, _, ms in rows
                     if event == "start" and ".0.1." in task]
    assert len(first_ends) == 4 and len(second_starts) == 4
    assert max(first_ends) <= min(second_starts)


def test_jobs_finish_once_through_kills_of_the_leader(jobs):
    for n in range(6):
        jobs.submit(job_id(n), two_step_job(5, 700))
    for _ in range(2):
        time.sleep(0.5)
        leader = jobs.fleet.wait_leader()
        jobs.fleet.processes[leader].kill()
        time.sleep(0.3)
        jobs.fleet.processes[leader].start()
        jobs.fleet.wait_leader()
    for n in range(6):
        jobs.wait_state(job_id(n), "completed", 60)
    done = [task for event, task, _, _ in jobs.runs() if event == "done"]
    assert len(done) == len(set(done)) == 60
    assert jobs.peak_runs_per_task() == 1


def test_a_killed_workers_tasks_run_elsewhere(jobs):
    jobs.submit(job_id(1), two_step_job(9, 2000))
    jobs.wait_state(job_id(1), "running")
    time.sleep(0.5)
    jobs.fleet.processes["worker0"].kill()
    jobs.wait_state(job_id(1), "completed", 60)


def test_callers_without_a_key_and_unknown_jobs_are_refused(jobs):
    port = jobs.fleet.public_ports["entry0"]
    body = json.dumps(two_step_job(1, 10))
    assert http_call(port, "POST", "/jobs/q/" + job_id(1), body)[0] == 401
    assert jobs.call("GET", "/jobs/q/" + job_id(9))[0] == 404
    assert jobs.call("GET", "/jobs/none/" + job_id(9))[0] == 404
    assert jobs.call("POST", "/jobs/q/short", two_step_job(1, 10))[0] == 400
    assert jobs.call("POST", "/jobs/q/" + job_id(2), {"Steps": []})[0] == 400
    assert jobs.call("POST", "/jobs/q/" + job_id(2), {"Odd": 1})[0] == 400


def test_operators_submit_look_and_cancel_by_command_line(jobs):
    spec = os.path.join(jobs.fleet.folder, "spec.json")
    with open(spec, "w") as out:
        json.dump(two_step_job(2, 60000), out)
    entries = f"127.0.0.1:{jobs.fleet.public_ports['entry0']}"

    def ctl(*args):
        return subprocess.run(
            [os.path.join(BUILD, "almondgate-ctl"), f"--entries={entries}",
             "--key=key-t", *args], capture_output=True, text=True)

    wait_until(lambda: ctl("submit", "q", job_id(5), "--file=" + spec)
               .returncode == 0, 20,
               "the job is submitted")
    jobs.wait_state(job_id(5), "running")
    assert '"running"' in ctl("job", "q", job_id(5)).stdout
    assert ctl("cancel", "q", job_id(5)).returncode == 0
    jobs.wait_state(job_id(5), "cancelled")
    assert ctl("job", "q", job_id(6)).returncode == 1


def leader_other_than(fleet, paused):
    """Returns the leader among the other members, or None."""
    for name in ("c0", "c1", "c2"):
        if (name != paused
                and fleet.metric(name, "almondgate_control_leads") == 1):
            return name
    return None


def busy_worker(jobs):
    """Returns the number of a worker that runs tasks; others may have none."""
    return next(i for i in range(len(jobs.records)) if jobs.rows(i))


def assert_ran_once(jobs, tasks):
    done = [task for event, task, _, _ in jobs.runs() if event == "done"]
    assert len(done) == len(set(done)) == tasks
    assert jobs.peak_runs_per_task() == 1


def test_a_paused_leader_wakes_and_repeats_no_order(jobs):
    """The leader is paused in the middle of its orders, for 4 s."""
    for n in range(6):
        jobs.submit(job_id(n), two_step_job(5, 700))
    paused = jobs.fleet.wait_leader()
    jobs.fleet.processes[paused].signal(signal.SIGSTOP)
    try:
        wait_until(lambda: leader_other_than(jobs.fleet, paused), 10,
                   f"a member other than {paused} leads")
        time.sleep(4)
    finally:
        jobs.fleet.processes[paused].signal(signal.SIGCONT)
    for n in range(6):
        jobs.wait_state(job_id(n), "completed", 60)
    assert_ran_once(jobs, 60)


def test_a_worker_silent_for_less_than_its_lease_keeps_its_runs(jobs):
    jobs.submit(job_id(1), two_step_job(6, 4000))
    wait_until(lambda: len(jobs.runs()) == 6, 10, "all first tasks run")
    worker = jobs.fleet.processes[f"worker{busy_worker(jobs)}"]
    worker.signal(signal.SIGSTOP)
    time.sleep(1.5)
    worker.signal(signal.SIGCONT)
    jobs.wait_state(job_id(1), "completed", 60)
    starts = [task for event, task, _, _ in jobs.runs() if event == "start"]
    assert len(starts) == len(set(starts)) == 12
    assert_ran_once(jobs, 12)


def test_a_worker_silent_for_more_than_its_lease_runs_nothing_twice():
    """Its link is cut for 6 s; its runs end with its lease of 3 s."""
    with Fleet(members=3, placers=1, entries=1) as fleet:
        fleet.start()
        jobs = JobFleet(fleet, workers=3, relayed=True)
        jobs.configure(config())
        jobs.submit(job_id(1), two_step_job(6, 5000))
        wait_until(lambda: len(jobs.runs()) == 6, 10, "all first tasks run")
        cut_off = busy_worker(jobs)
        jobs.relays[cut_off].cut("both")
        time.sleep(6)
        jobs.relays[cut_off].heal()
        jobs.wait_state(job_id(1), "completed", 60)
        assert any(event == "lapsed" for event, _, _, _ in jobs.rows(cut_off))
        assert_ran_once(jobs, 12)


def test_what_was_withdrawn_stays_so_through_a_restart_of_all_members(jobs):
    """A key is withdrawn and a worker is lost; then all members are killed."""
    content = config(version=2)
    content["Teams"][0]["Keys"] = ["key-new"]
    jobs.configure(content)
    path = "/jobs/q/" + job_id(1)
    spec = two_step_job(6, 300)
    assert jobs.call("POST", path, spec)[0] == 401
    jobs.fleet.processes["worker0"].kill()
    members = [jobs.fleet.processes[name] for name in ("c0", "c1", "c2")]
    for member in members:
        member.kill()
    for member in members:
        member.start()
    jobs.fleet.wait_leader()
    new_key = {"authorization": "Bearer key-new"}
    port = jobs.fleet.public_ports["entry0"]

    def submit(headers):
        return http_call(port, "POST", path, json.dumps(spec), headers)[0]

    wait_until(lambda: submit(new_key) == 200, 20, "the job is accepted")
    other = "/jobs/q/" + job_id(2)
    assert jobs.call("POST", other, spec)[0] == 401
    # An older configuration with the key changes nothing.
    jobs.configure(config(version=1))
    assert jobs.call("POST", other, spec)[0] == 401

    def state():
        body = http_call(port, "GET", path, None, new_key)[2]
        return json.loads(body)["State"]

    wait_until(lambda: state() == "completed", 60, "the job is completed")
    assert not any(event == "start" for event, _, _, _ in jobs.rows(0))
    assert_ran_once(jobs, 12)


# Guards against an answer of the command that nobody can act on, and against an
# explained job that is carried out.
def test_operators_ask_where_a_job_would_go(jobs, tmp_path):
    spec = tmp_path / "job.json"
    spec.write_text(json.dumps(two_step_job(4, 200)))
    entry = f"127.0.0.1:{jobs.fleet.public_ports['entry0']}"

    def ctl(*args):
        return subprocess.run(
            [os.path.join(BUILD, "almondgate-ctl"), f"--entries={entry}",
             f"--key={OPERATOR_KEYS['alice']}", *args],
            capture_output=True, text=True, timeout=60)
    asked = ("explain", "q", f"--file={spec}", "--team=t")
    wait_until(lambda: "step 0: starts at" in ctl(*asked).stdout, 20,
               "the fleet has room for the job")
    shown = ctl(*asked).stdout
    assert "pool p: accepted" in shown
    assert "step 1: 4 tasks wait: steps that it depends on" in shown
    assert json.loads(ctl(*asked, "--json").stdout)["Accepted"]
    assert ctl("explain", "nowhere", f"--file={spec}").returncode == 1
    assert ctl("explain-job", job_id(1)).returncode == 1
    assert jobs.runs() == []
