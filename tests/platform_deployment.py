"""Runs deploy/system.toml with real processes, each VM on a loopback address.

Starts the roles as the deploy file says, kills a process at its memory limit,
restarts what ended, and counts the ends that nobody asked for.
"""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

from fleet import free_port, wait_until
from platform_fleet import HEARTBEAT_SECONDS, HOST, KEY, Endpoint, Stub

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
ZONES = ["brussel-a", "antwerpen-b", "luik-c"]
CALLERS_PORT, OPERATORS_PORT, READY_PORT = 8340, 8345, 8343
INNER_PORT, STATUS_PORT = 7000, 7001
# Second numbers of the loopback networks 127.N that deployments take.
NETWORKS = range(20, 250)
MEMORY_MB = 260
RESTART_SECONDS = 0.5
WATCH_SECONDS = 0.02


def render(text, settings):
    """Fills the placeholders of a command line of the deploy file."""
    def value(match):
        name, _, index = match.group(1).rpartition(".")
        if index.isdigit():
            return settings.get(name, "").split(",")[int(index)]
        return settings.get(match.group(1), "")
    return re.sub(r"\{\{([^}|]+)\}\}", value, text)


def memory_kb(pid, field):
    try:
        with open(f"/proc/{pid}/status") as f:
            found = re.search(field + r":\s+(\d+)", f.read())
            return int(found.group(1)) if found else 0
    except OSError:
        return 0


class Node:
    """One VM with one process of the deploy file."""

    def __init__(self, name, role, settings, folder, tree, target):
        self.name, self.role, self.settings = name, role, settings
        self.ip = settings["ip"]
        self.tree, self.target = tree, target
        self.log = os.path.join(folder, name + ".log")
        self.popen = None
        # Held by whoever starts or ends the process.
        self.lock = threading.RLock()
        self.start_at = None
        self.own_ends = []
        self.asked = True
        self.peak_kb = 0
        self.limit_kb = int(float(settings["limits.memory-mb"] or 0)) << 10

    def args(self):
        words = self.role["run"].split(" ")
        program = os.path.join(self.target, os.path.basename(words[0]))
        return [program] + [render(w, self.settings) for w in words[1:]]

    def start(self, **options):
        with self.lock:
            self.start_at = None
            self.asked = False
            self.spawn(options)

    def spawn(self, options):
        env = {"PATH": "/usr/bin:/bin", "HOME": "/", "LANG": "C.UTF-8",
               **{name: render(value, self.settings)
                  for name, value in self.role.get("env", {}).items()}}
        with open(self.log, "ab") as out:
            options = {"stdout": out, "stderr": out, **options}
            self.popen = subprocess.Popen(
                self.args(), cwd=self.tree, env=env,
                stdin=subprocess.DEVNULL, **options)

    def end(self, number=signal.SIGKILL, seconds=20):
        """Ends the process by a signal; this is no end of its own."""
        with self.lock:
            self.start_at = None
            self.asked = True
            if self.popen and self.popen.poll() is None:
                self.popen.send_signal(number)
                self.popen.wait(seconds)
            return self.popen.returncode if self.popen else None

    def has_ended_by_itself(self):
        """Notes an end that nobody asked for; kills above the memory limit."""
        if self.asked:
            return False
        pid = self.popen.pid
        self.peak_kb = max(self.peak_kb, memory_kb(pid, "VmHWM"))
        if self.limit_kb and memory_kb(pid, "VmRSS") > self.limit_kb:
            self.end()
            self.own_ends.append("memory over the limit")
        elif self.popen.poll() is not None:
            self.asked = True
            self.own_ends.append(f"status {self.popen.returncode}")
        return self.asked

    def log_text(self):
        with open(self.log, errors="replace") as f:
            return f.read()

    def call(self, port, method, path, body=None, headers=None, timeout=10):
        conn = http.client.HTTPConnection(self.ip, port, timeout=timeout)
        try:
            conn.request(method, path, body, headers or {})
            answer = conn.getresponse()
            return answer.status, answer.read()
        finally:
            conn.close()

    def leads(self, timeout=10):
        """Whether this control member says that it leads."""
        return b"almondgate_control_leads 1" in self.call(
            STATUS_PORT, "GET", "/metrics", timeout=timeout)[1]


class Deployment:
    """The deploy file's roles on control VMs of all zones and entry VMs."""

    watch_seconds = WATCH_SECONDS

    def __init__(self, tree=ROOT, target=None, entries=2, changes=None,
                 run_seconds=0.5, memory_mb=MEMORY_MB, zones=ZONES,
                 members=len(ZONES)):
        tree = os.path.abspath(tree)
        target = target or os.environ.get("ALMONDGATE_BUILD",
                                          os.path.join(tree, "build"))
        self.folder = tempfile.mkdtemp(prefix="almondgate-")
        with open(os.path.join(tree, "deploy", "system.toml"), "rb") as f:
            self.roles = tomllib.load(f)["roles"]
        self.endpoint = Endpoint(run_seconds)
        self.services = Stub(self.answer_services)
        self.version = 0
        net = self.free_net()
        ips = [f"{net}.{i % len(zones) + 1}.{i // len(zones) + 1}"
               for i in range(members)]
        self.seeds = ",".join(f"{ip}:{OPERATORS_PORT}" for ip in ips[:3])
        self.nodes = {}
        rows = [("control", i, ips[i]) for i in range(members)]
        rows += [("entry", i, f"{net}.{i % len(zones) + 1}.{10 + i}")
                 for i in range(entries)]
        for role, i, ip in rows:
            name = f"{role}-{i}"
            data = os.path.join(self.folder, name + ".data")
            os.mkdir(data)
            settings = self.settings(name, role, ip, zones[i % len(zones)],
                                     data, memory_mb)
            settings.update(changes or {})
            self.nodes[name] = Node(name, self.roles[role], settings,
                                    self.folder, tree, os.path.abspath(target))
        self.stopping = threading.Event()
        self.restart = True
        self.threads = []

    def free_net(self):
        """Returns a network that no other deployment takes before the end.

        The claim is held from before the processes listen, since deployments
        of tests in parallel look for a network at the same time.
        """
        first = os.getpid() % len(NETWORKS)
        for second in [*NETWORKS[first:], *NETWORKS[:first]]:
            claim = socket.socket()
            try:
                claim.bind((f"127.{second}.251.1", INNER_PORT))
                with socket.socket() as s:
                    s.bind((f"127.{second}.1.1", INNER_PORT))
                self.net_claim = claim
                return f"127.{second}"
            except OSError:
                claim.close()
        raise AssertionError("no free loopback network")

    def settings(self, name, role, ip, zone, data, memory_mb):
        control = role == "control"
        return {
            "node-name": name, "ip": ip, "zone": zone, "region": "be-central",
            "listen-addresses.frontend": f"{ip}:{CALLERS_PORT}",
            "listen-addresses.ready": f"{ip}:{READY_PORT}",
            "listen-addresses.control": f"{ip}:{OPERATORS_PORT}",
            "internal-port-range": f"{INNER_PORT},{STATUS_PORT}",
            "seeds": self.seeds, "first-start": "true",
            "limits.memory-mb": str(memory_mb),
            "limits.file-descriptors": "4100",
            "data-directory": data if control else "",
            "fault-tolerance.machines": "1",
            "bounds.stop-timeout-ms": "200",
            "bounds.max-hold-ms": "6000",
            "bounds.remote-factor": "2",
            "cloud-api.address": f"127.0.0.1:{self.services.port}",
            "advice": f"127.0.0.1:{self.services.port}",
        }

    def answer_services(self, method, path, body):
        return 200, json.dumps({"machines": [
            {"machine-id": "m-1", "pool": "s-one", "state": "up",
             "zone": ZONES[0], "labels": ["a", "r1"],
             "capacity": self.endpoint.facts()["capacity"], "id": "i-1"}],
            "eligible-workers": [], "next-page-token": ""}).encode()

    def __enter__(self):
        for node in self.nodes.values():
            node.start()
        for target in (self.watch, self.send_heartbeats):
            thread = threading.Thread(target=target, daemon=True)
            thread.start()
            self.threads.append(thread)
        return self

    def __exit__(self, *args):
        self.stopping.set()
        for thread in self.threads:
            thread.join(10)
        for node in self.nodes.values():
            node.end()
        self.net_claim.close()

    def of(self, role):
        return [n for n in self.nodes.values() if n.role is self.roles[role]]

    def watch(self):
        """Enforces memory limits, counts own ends and restarts processes."""
        while not self.stopping.wait(self.watch_seconds):
            for node in list(self.nodes.values()):
                with node.lock:
                    if node.has_ended_by_itself() and self.restart:
                        node.start_at = time.monotonic() + RESTART_SECONDS
                    if node.start_at and time.monotonic() >= node.start_at:
                        node.start()

    def send_heartbeats(self):
        while not self.stopping.wait(HEARTBEAT_SECONDS):
            try:
                self.operator("PUT", "/instances/i-1", self.endpoint.facts())
            except OSError:
                pass  # No member is listening.

    def operator(self, method, path, body=None, timeout=10):
        """Calls the members in turn until one answers below 500."""
        status, content = 0, b""
        text = None if body is None else json.dumps(body)
        for node in self.of("control"):
            try:
                status, content = node.call(OPERATORS_PORT, method, path, text,
                                            timeout=timeout)
            except (OSError, http.client.HTTPException):
                continue
            if status < 500:
                break
        return status, content

    def configuration(self, **more):
        return {
            "version": self.version,
            "routes": [{"name": "r", "host": HOST, "path-prefix": "/one/",
                        "kind": "non_idempotent", "timeout-ms": 3000,
                        "target-latency-ms": 600, "priority": 0,
                        "service": "s-one", "max-attempts": 3,
                        "stretch": 50.0, "public": False}],
            "services": [{"name": "s-one", "standby": False,
                          "admission-check": False}],
            "tenants": [{"name": "t", "api-keys": [KEY], "weight": 1,
                         "upper-limit": {"cpu": 0, "memory-request-mb": 0,
                                         "gpu": 0}}], **more}

    def configure(self, seconds=20):
        self.version += 1
        wait_until(lambda: self.operator("PUT", "/config",
                                         self.configuration())[0] == 200,
                   seconds, "a configuration is accepted")

    def job_call(self, method, job, body=None, entry=0, timeout=10):
        text = None if body is None else json.dumps(body)
        return self.of("entry")[entry].call(
            CALLERS_PORT, method, f"/one/{job}", text,
            {"Host": HOST, "Key": KEY}, timeout)

    def serves(self, job, seconds=20):
        """Waits until a job of one task is accepted and completed."""
        spec = {"task-spec": "x", "steps": [
            {"count": 1, "cpu": 100, "memory-request-mb": 1,
             "estimated-ms": 500}]}

        def tried(check):
            try:
                return check()
            except (OSError, http.client.HTTPException):
                return False
        wait_until(lambda: tried(
            lambda: self.job_call("POST", job, spec)[0] == 200),
            seconds, f"job {job} is accepted")
        wait_until(lambda: tried(
            lambda: b"completed" in self.job_call("GET", job)[1]),
            seconds, f"job {job} is completed")

    def own_ends(self):
        return {n.name: n.own_ends for n in self.nodes.values() if n.own_ends}

    def peaks_mb(self):
        return {n.name: n.peak_kb >> 10 for n in self.nodes.values()}
