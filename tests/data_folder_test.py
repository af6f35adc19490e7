"""Members with damaged files, and data folders that can't be read."""

import os
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
