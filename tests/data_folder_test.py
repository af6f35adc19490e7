"""Members with damaged, unreadable or lost data folders."""

import json
import os
import shutil
import time

import pytest

from fleet import wait_until
from platform_deployment import STATUS_PORT, Deployment


def is_ready(node):
    try:
        return node.call(STATUS_PORT, "GET", "/readyz", timeout=1)[0] == 200
    except OSError:
        return False


def wait_until_members_are_ready(d, seconds=15):
    for node in d.of("control"):
        wait_until(lambda n=node: is_ready(n), seconds, f"{node.name} is ready")


def read_version(d):
    """The version of the configuration, once a leader answers."""
    answers = []

    def read():
        answers.append(d.operator("GET", "/config"))
        return answers[-1][0] == 200
    wait_until(read, 5, "the configuration is read")
    assert {status for status, _ in answers} <= {200, 503}, answers
    return json.loads(answers[-1][1])["version"]


def damage_identity(data):
    with open(os.path.join(data, "identity"), "w"):
        pass


def damage_log(data):
    log = next(n for n in os.listdir(data) if n.startswith("log-"))
    with open(os.path.join(data, log), "r+b") as f:
        f.truncate(0)


@pytest.mark.parametrize("damage", [damage_identity, damage_log])
def test_a_member_with_a_damaged_file_rejoins(damage):
    with Deployment(entries=0) as d:
        d.configure()
        node = d.of("control")[0]
        node.end()
        damage(node.settings["data-directory"])
        node.settings["first-start"] = "false"
        node.start()
        wait_until_members_are_ready(d)
        assert d.own_ends() == {}
        assert "damaged-" in " ".join(
            os.listdir(node.settings["data-directory"]))


def test_a_data_folder_that_cannot_be_read_is_waited_for():
    with Deployment(entries=0) as d:
        d.configure()
        node = d.of("control")[0]
        data = node.settings["data-directory"]
        node.end()
        os.rename(data, data + ".away")
        with open(data, "w"):
            pass  # A file in its place, as for a mount that is missing.
        node.start()
        time.sleep(1)
        assert node.popen.poll() is None, node.log_text()
        os.remove(data)
        os.rename(data + ".away", data)
        wait_until_members_are_ready(d)
        assert d.own_ends() == {}


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_a_disk_lost_while_all_others_are_killed_loses_no_configuration(lost):
    with Deployment(entries=0) as d:
        d.configure()
        for node in d.of("control"):
            node.end()
        data = d.of("control")[lost].settings["data-directory"]
        shutil.rmtree(data)
        os.mkdir(data)
        for node in d.of("control"):
            node.settings["first-start"] = "false"
            node.start()
        wait_until_members_are_ready(d)
        assert read_version(d) == d.version
        assert d.own_ends() == {}


def undo_setting_aside(data):
    for name in os.listdir(data):
        if not name.startswith("damaged-"):
            os.remove(os.path.join(data, name))
    for name in os.listdir(data):
        os.rename(os.path.join(data, name),
                  os.path.join(data, name.removeprefix("damaged-")))


def test_a_damaged_majority_founds_no_second_group():
    with Deployment(entries=0) as d:
        d.configure()
        damaged = d.of("control")[:2]
        identities = []
        for node in damaged:
            node.end()
            path = os.path.join(node.settings["data-directory"], "identity")
            with open(path) as f:
                identities.append(f.read())
            damage_identity(node.settings["data-directory"])
        for node in damaged:
            node.start()  # With --found=true, which must not apply.
        time.sleep(3)
        assert not any(is_ready(n) for n in damaged)
        assert d.own_ends() == {}
        for node, identity in zip(damaged, identities):
            node.end()
            data = node.settings["data-directory"]
            undo_setting_aside(data)
            with open(os.path.join(data, "identity"), "w") as f:
                f.write(identity)
            node.start()
        wait_until_members_are_ready(d)
        assert read_version(d) == d.version
