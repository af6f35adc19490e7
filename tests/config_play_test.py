"""Tests what config_play.py and cpu_quota.py check and limit."""

import json
import subprocess
import sys
import time

import pytest

from config_play import APPLY_SECONDS, KEYS, Change, Content, Play
from cpu_quota import Quota, cpu_ns


@pytest.fixture
def play():
    return Play(1, 0)


def change(version, routes, acked):
    content = Content(set(routes), {0}, set(KEYS))
    made = Change(version, content, json.dumps(content.body(version, 0)))
    made.sent = made.acked = acked
    return made


def test_a_read_older_than_what_was_acknowledged_is_reported(play):
    play.changes = {1: change(1, {0}, 0), 2: change(2, {1}, 1)}
    play.reads = [(1.1 + APPLY_SECONDS, 5, "control-0", play.changes[1].text)]
    play.check_reads()
    assert len(play.broken) == 1, play.broken


def test_two_changes_of_one_version_are_shown_as_one_of_them(play):
    """Either may take effect; a change from one to the other is a fault."""
    first, second = change(1, {0}, 0), change(1, {1}, 0)
    first.other = second
    play.changes = {1: first}
    play.reads = [(1, 2, "control-0", second.text),
                  (2, 3, "control-1", second.text)]
    play.check_reads()
    assert not play.broken, play.broken
    play.reads.append((3, 4, "control-2", first.text))
    play.shown = {}
    play.check_reads()
    assert len(play.broken) == 1, play.broken


def test_a_call_is_answered_as_one_of_two_changes_of_a_version_allows(play):
    first, second = change(1, {0}, 0), change(1, {0, 1}, 0)
    first.other = second
    play.changes = {1: first}
    play.calls = [(9, 9.1, "entry-0", 1, KEYS[0], status)
                  for status in (200, 404)]
    play.check_calls()
    assert not play.broken, play.broken
    play.calls = [(9, 9.1, "entry-0", 0, KEYS[0], 404)]
    play.check_calls()
    assert len(play.broken) == 1, play.broken


def test_a_process_is_held_to_its_share_of_a_core():
    """Guards against plays whose quota limits nothing."""
    busy = subprocess.Popen([sys.executable, "-c", "while True: pass"])
    quota = Quota()
    try:
        quota.limit(busy.pid, 0.2)
        time.sleep(0.3)
        before, began = cpu_ns(busy.pid), time.monotonic_ns()
        time.sleep(2)
        share = (cpu_ns(busy.pid) - before) / (time.monotonic_ns() - began)
        # A loaded machine may give it less than its share, never more.
        assert 0.02 < share < 0.25
        assert quota.close()[busy.pid] > 0
        # Without a limiter it runs again.
        before = cpu_ns(busy.pid)
        time.sleep(0.5)
        assert cpu_ns(busy.pid) > before
    finally:
        busy.kill()
        busy.wait()
