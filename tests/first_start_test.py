"""Members that are killed in their first start still form one group."""

import os
import time

import pytest

from fleet import wait_until
from platform_deployment import STATUS_PORT, Deployment

KILL_STEP_MS = 20
KILL_LAST_MS = 100


def is_ready(node):
    try:
        return node.call(STATUS_PORT, "GET", "/readyz", timeout=1)[0] == 200
    except OSError:
        return False


def wait_until_members_are_ready(d, seconds=15):
    for node in d.of("control"):
        wait_until(lambda n=node: is_ready(n), seconds, f"{node.name} is ready")


def start_killed(d, killed, delay_ms, first_start, begun):
    """Starts all; kills some of the members after a delay, restarts them."""
    killed = d.of("control")[:killed]
    for node in d.nodes.values():
        node.start()
    if begun:
        for node in killed:
            first = os.path.join(node.settings["data-directory"], "snapshot-0")
            wait_until(lambda f=first: os.path.exists(f), 5, first)
    time.sleep(delay_ms / 1000)
    for node in killed:
        node.end()
    for node in killed:
        node.settings["first-start"] = first_start
        node.start()


def forms_a_group(killed, delay_ms, first_start, begun):
    d = Deployment(entries=0)
    try:
        start_killed(d, killed, delay_ms, first_start, begun)
        wait_until_members_are_ready(d)
        d.configure()
    except AssertionError as e:
        raise AssertionError(f"killed after {delay_ms} ms") from e
    finally:
        d.__exit__()


@pytest.mark.parametrize("killed", [1, 2, 3])
def test_members_killed_in_their_first_start_form_a_group(killed):
    for delay_ms in range(0, KILL_LAST_MS + 1, KILL_STEP_MS):
        forms_a_group(killed, delay_ms, "true", begun=False)


@pytest.mark.parametrize("killed", [1, 2, 3])
def test_members_killed_while_they_found_a_group_form_it(killed):
    for delay_ms in range(0, KILL_LAST_MS + 1, KILL_STEP_MS):
        forms_a_group(killed, delay_ms, "false", begun=True)


@pytest.mark.parametrize("killed", [1, 2, 3])
def test_members_killed_before_their_first_file_form_a_group(killed):
    forms_a_group(killed, 0, "false", begun=False)


def test_members_whose_first_format_was_interrupted_found_the_group():
    """The files are those that a kill after the first one leaves."""
    d = Deployment(entries=0)
    try:
        for node in d.nodes.values():
            node.start()
        for node in d.nodes.values():
            data = node.settings["data-directory"]
            wait_until(lambda f=data: os.path.exists(os.path.join(f, "lock")),
                       5, f"{node.name} has opened its folder")
            node.end()
            for name in ("identity", "log-0", "lock"):
                os.remove(os.path.join(data, name))
            node.settings["first-start"] = "false"
            node.start()
        wait_until_members_are_ready(d)
        d.configure()
    finally:
        d.__exit__()
