"""Starts a local fleet of almondgate processes on loopback.

Used by the process tests, the demo and the measurements.
"""

import functools
import hashlib
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import tempfile
import time

from relay import Relay

BUILD = os.environ.get(
    "ALMONDGATE_BUILD",
    os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "build"),
)
SECRET = "a-secret-of-the-local-fleet"
OPERATOR_KEYS = {"alice": "alice-operator-key", "bob": "bob-operator-key"}
START_TIMEOUT_SECONDS = 15


# The ports lie below the kernel's ephemeral range, so that no outgoing
# connection takes one.
PORTS = range(12000, 32000)
PORTS_PER_PROCESS = 2000


@functools.cache
def claim_ports():
    """Returns ports that no other process of tests takes while this one runs.

    The first port of the block stays bound as the claim. Tests in parallel,
    also of other sessions on the machine, would otherwise find the same ports
    free at the same time.
    """
    for first in PORTS[::PORTS_PER_PROCESS]:
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
        except OSError:
            claim.close()
            continue
        ports = range(first + 1, first + PORTS_PER_PROCESS)
        return claim, itertools.cycle(ports)
    raise AssertionError("too many processes of tests: no ports are left")


def free_port():
    """Returns a port that is free now and outside the ephemeral range."""
    _, ports = claim_ports()
    for port in ports:
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def wait_until(check, seconds, what):
    """Polls `check` until it returns a true value, and returns that value.

    Raises AssertionError with the description `what` after `seconds`.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = check()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(f"timed out after {seconds} s waiting for: {what}")


def peak_overlap(rows, team, begin, end):
    """Returns the peak number of overlapping spans of `team` in [begin, end).

    Each row is [team, begin, end], with an end of 0 for a span still open.
    A span that ends at the instant another begins does not overlap it.
    """
    changes = []
    for row_team, first, last in rows:
        first, last = max(first, begin), min(last or end, end)
        if row_team == team and first < last:
            changes += [(first, 1), (last, -1)]
    current = peak = 0
    for _, change in sorted(changes):
        current += change
        peak = max(peak, current)
    return peak


def http_call(port, method, path, body=None, headers=None, timeout=30):
    """Sends a request on a new connection; returns (status, headers, body)."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        conn.request(method, path, body, headers or {})
        answer = conn.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        conn.close()


class Process:
    """A process of the fleet that can be stopped and restarted."""

    def __init__(self, name, args, folder):
        self.name = name
        self.args = args
        self.log = os.path.join(folder, name + ".log")
        self.popen = None

    def start(self):
        with open(self.log, "ab") as out:
            self.popen = subprocess.Popen(self.args, stderr=out, stdout=out)

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        if self.popen and self.popen.poll() is None:
            self.popen.kill()
        if self.popen:
            self.popen.wait()

    def stop(self, seconds=30):
        """Stops the process with SIGTERM and returns its exit code."""
        self.popen.terminate()
        return self.popen.wait(seconds)

    def alive(self):
        return self.popen is not None and self.popen.poll() is None

    def log_text(self):
        with open(self.log, errors="replace") as f:
            return f.read()


class Fleet:
    """A fleet of control members, placers, entries and fake endpoints.

    With `relay_members` each member is reached by the other members through a
    Relay, so that its links can be cut.
    """

    def __init__(self, members=3, placers=2, entries=2, stop_delay_ms=300,
                 relay_members=False):
        self.folder = tempfile.mkdtemp(prefix="almondgate-")
        self.stop_delay_ms = stop_delay_ms
        self.processes = {}
        self.status_ports = {}
        self.public_ports = {}
        self.next_number = int(time.time() * 1000)
        self.member_ports = [free_port() for _ in range(members)]
        self.relays = {}
        self.peer_ports = list(self.member_ports)
        if relay_members:
            for i, port in enumerate(self.member_ports):
                self.relays[f"c{i}"] = Relay(port)
                self.peer_ports[i] = self.relays[f"c{i}"].port
        self.control = ",".join(f"127.0.0.1:{p}" for p in self.member_ports)
        self.first_members = ",".join(
            f"c{i}=127.0.0.1:{p}" for i, p in enumerate(self.peer_ports)
        )
        for i in range(members):
            self.add_member(f"c{i}", self.member_ports[i], init_as=f"c{i}")
        for i in range(placers):
            self.add_placer(f"placer{i}")
        for i in range(entries):
            self.add_entry(f"entry{i}")

    # -- adding processes

    def _common_args(self, name, zone, inner=None, control=None):
        status = free_port()
        self.status_ports[name] = status
        return [
            f"--secret={SECRET}",
            f"--inner=127.0.0.1:{inner or free_port()}",
            f"--status=127.0.0.1:{status}",
            f"--zone={zone}",
            f"--control={control or self.control}",
            f"--stop-delay-ms={self.stop_delay_ms}",
        ]

    def _add(self, name, program, args):
        args = [os.path.join(BUILD, program)] + args
        self.processes[name] = Process(name, args, self.folder)
        return self.processes[name]

    def data_folder(self, name):
        return os.path.join(self.folder, "data-" + name)

    def add_member(self, name, port, init_as=None):
        zone = f"z{len(self.processes) % 3}"
        args = self._common_args(name, zone, port) + [
            f"--data={self.data_folder(name)}"
        ]
        process = self._add(name, "almondgate-control", args)
        if init_as:
            subprocess.run(
                process.args
                + [f"--init-as={init_as}",
                   f"--first-members={self.first_members}"],
                check=True,
                capture_output=True,
            )
        return process

    def relayed_control(self, name):
        """Returns control addresses that reach each member through a new relay.

        The relays are kept under `name`, so that a test can cut the links of
        this one process.
        """
        relays = [Relay(port) for port in self.member_ports]
        self.relays[name] = relays
        return ",".join(f"127.0.0.1:{r.port}" for r in relays)

    def add_placer(self, name, relayed=False):
        zone = f"z{len(self.processes) % 3}"
        control = self.relayed_control(name) if relayed else None
        args = self._common_args(name, zone, control=control)
        return self._add(name, "almondgate-placer", args)

    def add_entry(self, name, relayed=False):
        zone = f"z{len(self.processes) % 3}"
        control = self.relayed_control(name) if relayed else None
        public = free_port()
        self.public_ports[name] = public
        keys = ",".join(f"{n}={sha256(k)}" for n, k in OPERATOR_KEYS.items())
        args = self._common_args(name, zone, control=control) + [
            f"--public=127.0.0.1:{public}",
            f"--operator-keys={keys}",
        ]
        return self._add(name, "almondgate-entry", args)

    def add_endpoint(self, name, pool=None, zone="z0", rack="r0", slots=8, extra=()):
        """Starts a fake endpoint and moves its VM to `pool`, if given."""
        port = free_port()
        self.public_ports[name] = port
        entries = ",".join(
            f"127.0.0.1:{p}"
            for n, p in self.public_ports.items()
            if n.startswith("entry")
        )
        args = [
            f"--name={name}",
            f"--listen=127.0.0.1:{port}",
            f"--entries={entries}",
            f"--zone={zone}",
            f"--rack={rack}",
            f"--slots={slots}",
        ] + list(extra)
        process = self._add(name, "fake-endpoint", args)
        process.start()
        if pool:
            self.change("move-vm", {"Vm": name, "From": "", "To": pool})
        return process

    # -- process state

    def start(self):
        for name, process in self.processes.items():
            if not process.alive():
                process.start()
        for name in self.status_ports:
            self.wait_ready(name)

    def wait_ready(self, name, seconds=START_TIMEOUT_SECONDS):
        wait_until(lambda: self.is_ready(name), seconds, f"{name} is ready")

    def is_ready(self, name):
        try:
            return http_call(self.status_ports[name], "GET", "/readyz")[0] == 200
        except OSError:
            return False

    def metric(self, name, metric):
        text = http_call(self.status_ports[name], "GET", "/metrics")[2].decode()
        for line in text.splitlines():
            if line.startswith(metric + " "):
                return float(line.split()[1])
        return None

    def leader(self):
        """Returns the name of the current control leader, or None."""
        for name, process in self.processes.items():
            if "almondgate-control" not in process.args[0] or not process.alive():
                continue
            try:
                if self.metric(name, "almondgate_control_leads") == 1:
                    return name
            except OSError:
                pass
        return None

    def wait_leader(self, seconds=10):
        return wait_until(self.leader, seconds, "a control leader is elected")

    def close(self):
        for process in self.processes.values():
            if process.alive():
                process.signal(signal.SIGCONT)
            process.kill()
        for relays in self.relays.values():
            for relay in relays if isinstance(relays, list) else [relays]:
                relay.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    # -- operator requests

    def admin(self, method, path, body=None, operator="alice", entry="entry0"):
        headers = {"authorization": "Bearer " + OPERATOR_KEYS[operator]}
        data = None if body is None else json.dumps(body)
        status, _, answer = http_call(
            self.public_ports[entry], method, "/admin/v1/" + path, data, headers
        )
        return status, json.loads(answer)

    def try_change(self, kind, body, number=None, operator="alice", expected=0,
                   reason="test", entry="entry0"):
        if number is None:
            self.next_number += 1
            number = self.next_number
        change = {
            "Number": number,
            "ExpectedRevision": expected,
            "Reason": reason,
            "What": {"Kind": kind, "Body": body},
        }
        return self.admin("POST", "changes", change, operator, entry)

    def change(self, kind, body, **options):
        status, answer = self.try_change(kind, body, **options)
        assert status == 200, (kind, status, answer)
        return answer

    def put(self, *records):
        """Puts records, each given as (kind, body), in one change."""
        return self.change(
            "put", {"Records": [{"Kind": k, "Body": b} for k, b in records]}
        )

    def table(self, name, entry="entry0"):
        status, answer = self.admin("GET", name, entry=entry)
        assert status == 200, answer
        return [item["Body"] for item in answer["Items"]]

    def grant_key(self, team, key):
        body = {"Granted": {"Hash": sha256(key), "Team": team, "Note": ""}}
        return self.change("grant-key", body)

    def simple_pool(self, pool="p", team="t", queue="q", key="key-t", vms=2,
                    slots=8, limit=100, queue_class="batch"):
        """Creates a pool with a team, a queue, a key and running endpoints.

        Returns once every entry serves the queue.
        """
        self.put(
            ("pool", {"Id": pool}),
            ("team", {"Id": team, "Share": 1, "Limit": limit}),
            ("queue", {"Id": queue, "Pool": pool, "Team": team,
                       "Class": queue_class}),
        )
        self.grant_key(team, key)
        for i in range(vms):
            self.add_endpoint(f"{pool}-vm{i}", pool, zone=f"z{i % 3}",
                              rack=f"r{i % 2}", slots=slots)
        self.wait_serving(queue, key)

    def wait_serving(self, queue, key, seconds=START_TIMEOUT_SECONDS):
        for entry in [n for n in self.public_ports if n.startswith("entry")]:
            wait_until(
                lambda e=entry: self.call(queue, key, entry=e)[0] == 200,
                seconds, f"{entry} serves queue {queue}")

    # -- caller requests

    def call(self, queue, key, path="/work", method="GET", body=None,
             headers=None, entry="entry0", timeout=60):
        headers = dict(headers or {})
        if key:
            headers["authorization"] = "Bearer " + key
        return http_call(self.public_ports[entry], method,
                         f"/q/{queue}{path}", body, headers, timeout)

    def query_endpoints(self, path):
        """Sends a GET to each running endpoint; returns the JSON answers."""
        return [json.loads(http_call(self.public_ports[n], "GET", path)[2])
                for n, process in self.processes.items()
                if "fake-endpoint" in process.args[0] and process.alive()]

    def running(self, team):
        """Returns about how many requests of a team are running.

        Approximate, because the endpoints are queried one after another.
        """
        return sum(counts.get(team, 0)
                   for counts in self.query_endpoints("/running"))

    def peak_running(self, team, begin, end):
        """Returns the peak number of a team's concurrent requests in a period.

        `begin` and `end` are readings of time.monotonic(). The figure is exact
        over all endpoints: each records its runs with the host's steady clock,
        which all processes share.
        """
        rows = [row for rows in self.query_endpoints("/spans") for row in rows]
        return peak_overlap(rows, team, begin * 1e6, end * 1e6)

    def owner_of(self, pool):
        """Returns the name of the placer that owns a pool."""
        owner = next(o for o in self.table("owners") if o["Pool"] == pool)
        inner = f"--inner=127.0.0.1:{owner['Placer']['Port']}"
        return next(n for n, p in self.processes.items()
                    if n.startswith("placer") and inner in p.args)

    def run_counts(self):
        """Returns how often each request id ran, over all running endpoints."""
        out = {}
        for counts in self.query_endpoints("/ran"):
            for request, n in counts.items():
                if not request:
                    continue  # sent by wait_serving(), without an id
                out[request] = out.get(request, 0) + n
        return out
