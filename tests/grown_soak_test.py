"""A short run of the soak of a grown fleet, and what its checks report."""

import asyncio
import json
import time
from types import SimpleNamespace

from grown_configurations import Operators, Version
from grown_fleet import GrownFleet
from grown_soak import ALL_KINDS, Job, check_cuts, check_lasting, soak
from platform_deployment import KEY

SECONDS = 20
SEED = 1


class Record:
    """Stands in for a fleet whose play is over."""

    is_calm = GrownFleet.is_calm

    def __init__(self):
        self.began = time.monotonic() - 100
        self.disturbances, self.runs = [], []
        self.control_ips = ["unused"]

    def log(self, text):
        pass


def operators_with_versions(fleet, ages):
    """Returns operators whose versions were acknowledged so long ago; each
    adds a route and a key."""
    operators = Operators(fleet, SEED, 1)
    config = operators.first()
    for number, age in enumerate(ages, 1):
        config["version"] = number
        config["routes"].append({**config["routes"][0], "name": f"x-{number}",
                                 "path-prefix": f"/x{number}/"})
        version = operators.versions.setdefault(
            number, Version(config))
        version.sent = version.acknowledged = time.monotonic() - age
    return operators


def answer_of(monkeypatch, status, body=b""):
    async def answered(*args, **more):
        return SimpleNamespace(status=status, body=body,
                               ended=time.monotonic())
    monkeypatch.setattr("grown_configurations.request", answered)


def ask(operators, prefix):
    node = SimpleNamespace(name="entry-0", ip="unused",
                           popen=SimpleNamespace(pid=1))
    operators.fleet.entries = [node]
    operators.fleet.note_call = lambda node, answer: None
    asyncio.run(operators.ask(0, prefix, KEY))
    return operators.violations


def test_an_added_route_that_is_not_served_in_time_is_reported(monkeypatch):
    answer_of(monkeypatch, 404)
    assert not ask(operators_with_versions(Record(), [9, 1]), "/x2/")
    assert ask(operators_with_versions(Record(), [9, 3]), "/x2/")


def test_a_disturbed_core_stretches_the_bound_of_a_route(monkeypatch):
    answer_of(monkeypatch, 404)
    fleet = Record()
    fleet.disturbances = [(time.monotonic() - 1, None, "core", "leader kill")]
    assert not ask(operators_with_versions(fleet, [9, 8]), "/x2/")
    assert ask(operators_with_versions(fleet, [9, 8.8]), "/x2/")


def test_an_older_version_read_back_is_reported(monkeypatch):
    for age, broken in ((1, False), (3, True)):
        operators = operators_with_versions(Record(), [9, age])
        answer_of(monkeypatch, 200,
                  json.dumps(operators.versions[1].config).encode())
        asyncio.run(operators.read(0))
        assert bool(operators.violations) == broken


def test_content_that_was_not_sent_under_its_version_is_reported(monkeypatch):
    operators = operators_with_versions(Record(), [9])
    other = {**operators.versions[1].config, "services": []}
    answer_of(monkeypatch, 200, json.dumps(other).encode())
    asyncio.run(operators.read(0))
    assert operators.violations


def lasting_task(fleet, ended):
    """Returns callers with one lasting task whose run ended so long ago."""
    now = time.monotonic()
    fleet.runs = [SimpleNamespace(task="a.0.0.0", begin=now - 50,
                                  end=now - ended)]
    return SimpleNamespace(jobs={"/q0/a": Job("/q0/a", 0, now - 50, True, 1)})


def test_a_lasting_task_that_stands_still_in_calm_is_reported():
    fleet = Record()
    now = time.monotonic()
    assert not check_lasting(fleet, lasting_task(fleet, 8.5), now, ALL_KINDS)
    assert check_lasting(fleet, lasting_task(fleet, 9.5), now, ALL_KINDS)
    fleet.disturbances = [(now - 20, now - 6, "core", "leader kill")]
    assert not check_lasting(fleet, lasting_task(fleet, 15), now, ALL_KINDS)
    fleet.disturbances = [(now - 20, now - 8, "core", "leader kill")]
    assert check_lasting(fleet, lasting_task(fleet, 15), now, ALL_KINDS)


def test_a_request_cut_by_a_planned_stop_is_reported():
    fleet = Record()
    now = time.monotonic()
    operators = SimpleNamespace(versions={})
    callers = SimpleNamespace(calls=[("entry-0", now - 1, now - 0.5, "cut")])
    assert not check_cuts(fleet, callers, operators)[0]
    fleet.disturbances = [(now - 2, now, "term", "entry-0")]
    assert check_cuts(fleet, callers, operators)[0]
    callers.calls = [("entry-0", now - 1, now - 0.9, "cut")]
    assert not check_cuts(fleet, callers, operators)[0]


def test_a_grown_fleet_keeps_its_rules():
    violations, summary, folder = soak("short", SEED, SECONDS)
    assert not violations, "\n".join([summary, *violations, folder])
