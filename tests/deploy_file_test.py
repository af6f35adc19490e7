"""The deploy file can be read by deployment tools that know fewer settings."""

import os
import re
import tomllib

from fleet import wait_until
from platform_deployment import Deployment

ROOT = os.path.join(os.path.dirname(__file__), "..")
# What tools of earlier versions fill in command lines. They pass environment
# variables on as they are, so later settings are environment variables.
COMMAND_LINE_FIELDS = {
    "listen-addresses.frontend", "listen-addresses.control",
    "listen-addresses.ready", "ip", "zone", "node-name",
    "internal-port-range.0", "internal-port-range.1", "seeds",
    "data-directory", "first-start", "fault-tolerance.machines",
    "bounds.stop-timeout-ms", "cloud-api.address", "advice"}


def roles():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
        return tomllib.load(f)["roles"]


# Guards against a command line that an older deployment tool can't fill, which
# keeps the whole system from starting.
def test_command_lines_name_only_fields_that_all_tools_fill():
    for role in roles().values():
        fields = set(re.findall(r"\{\{([^}]+)\}\}", role["run"]))
        assert fields <= COMMAND_LINE_FIELDS


# Guards against a limit that is set in the deploy file and doesn't reach the
# process.
def test_settings_from_the_environment_are_in_force():
    changes = {"bounds.max-hold-ms": "7000"}
    with Deployment(memory_mb=96, changes=changes) as deployment:
        for node in deployment.nodes.values():
            wait_for_line(node, f"memory limit {96 << 20} bytes")
        for node in deployment.of("control"):
            wait_for_line(node, "longest lease 7000 ms")


# Guards against a process that doesn't start with a placeholder for a value.
def test_processes_start_with_placeholders_in_their_environment():
    with Deployment() as deployment:
        for node in deployment.nodes.values():
            node.settings = Unfilled(node.settings)
            node.end()
            node.start()
        deployment.configure()
        deployment.serves("00000000000000e1")
        for node in deployment.of("control"):
            assert "must be a number; using 6000" in node.log_text()


class Unfilled(dict):
    """Settings of a tool that knows only the fields of command lines."""

    def get(self, name, default=None):
        known = name in COMMAND_LINE_FIELDS or name == "internal-port-range"
        return super().get(name, default) if known else "{{" + name + "}}"


def wait_for_line(node, text):
    wait_until(lambda: text in node.log_text(), 20,
               f"{node.name} logs: {text}")
