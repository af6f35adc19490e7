"""Tests of jobs on the real processes: step order, kills, refusals and ctl."""

import json
import os
import subprocess
import time

import pytest

from fleet import BUILD, Fleet, http_call, wait_until
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
