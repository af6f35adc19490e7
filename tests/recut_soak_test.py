"""Short runs of the soak of zones that restart and are cut off."""

import pytest

from recut_soak import soak

SECONDS = 20
PATTERN = {"high_water": False, "completion": 20, "whole_zone": 1, "load": 0.4,
           "clock": "zero", "slow_clocks": True, "kill": 0, "one_way": 0,
           "behind_cut": 0, "cut_after": "0-0.3", "cut_seconds": "9",
           "reset_on_crash": 0, "leader_stops": False, "tasks": 2}


def check(seed, **settings):
    violations, summary, folder = soak(seed, SECONDS, **settings)
    twice = [v for v in violations if "two runs" in v or "a start" in v]
    assert not twice, "\n".join([summary, *twice, folder])


@pytest.mark.parametrize("seed,dark", [(1, 0.6), (1011, 2.5)])
def test_no_task_runs_twice_when_restarted_zones_are_cut_off(seed, dark):
    check(seed, dark=dark, **PATTERN)


def test_no_task_runs_twice_while_its_lapsed_run_is_being_ended():
    settings = {**PATTERN, "cut_after": "2", "dark": 0.6, "unrestarted": 0.4,
                "lapse_seconds": 0.9, "stopping_listed": True}
    check(5911, **settings)
