"""Disturbances that must not end a process, by the name of their test case.

Each takes a running Deployment that serves and returns nothing.
"""

import re
import signal
import socket
import time

from platform_deployment import (CALLERS_PORT, INNER_PORT, OPERATORS_PORT,
                                 READY_PORT, STATUS_PORT)
from platform_fleet import HOST

BODY_BYTES = 262144
FLOOD_CONNECTIONS = 800
READERS = 60
ROUNDS = 3


def request_head(method, path, length, more=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Length: {length}\r\n{more}\r\n").encode()


def send_all(node, port, data):
    try:
        with socket.create_connection((node.ip, port), timeout=5) as sock:
            sock.sendall(data)
            sock.recv(65536)
    except OSError:
        pass  # The process may refuse or be gone; the caller counts ends.


def bytes_that_are_not_text(d):
    """A heartbeat and a job with a byte that isn't UTF-8, to each process."""
    body = b'{"service":"caf\xe9","steps":[{"count":1}]}'
    for _ in range(ROUNDS):
        for node in d.of("control"):
            send_all(node, OPERATORS_PORT, request_head(
                "PUT", "/instances/i-7", len(body)) + body)
        for node in d.of("entry"):
            send_all(node, CALLERS_PORT, request_head(
                "POST", "/nowhere/1", len(body)) + body)
        time.sleep(1)


def hold_bodies(node, port, method, path):
    """Opens connections whose bodies lack the last byte; returns them."""
    data = request_head(method, path, BODY_BYTES) + b"x" * (BODY_BYTES - 1)
    held = []
    for _ in range(FLOOD_CONNECTIONS):
        sock = socket.socket()
        sock.settimeout(0.5)
        try:
            sock.connect((node.ip, port))
            sock.sendall(data)
        except OSError:
            pass  # Refused: the connection holds nothing.
        held.append(sock)
    return held


def flood(d, role, port, method, path):
    held = []
    for node in d.of(role)[:1]:
        held += hold_bodies(node, port, method, path)
    time.sleep(1)
    for sock in held:
        sock.close()


def bodies_to_callers_port(d):
    flood(d, "entry", CALLERS_PORT, "POST", "/nowhere/1")


def bodies_to_ready_port(d):
    flood(d, "entry", READY_PORT, "POST", "/readyz")


def bodies_to_operators_port(d):
    flood(d, "control", OPERATORS_PORT, "PUT", "/config")


def bodies_to_status_port(d):
    flood(d, "control", STATUS_PORT, "POST", "/readyz")


def bytes_to_inner_port(d):
    """Strangers on the inner port, with the preface of HTTP/2 and without."""
    node, held = d.of("control")[0], []
    for data in (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0" * 9,
                 b"x" * BODY_BYTES):
        for _ in range(200):
            sock = socket.socket()
            sock.settimeout(0.5)
            try:
                sock.connect((node.ip, INNER_PORT))
                sock.sendall(data)
            except OSError:
                pass  # Refused: the connection holds nothing.
            held.append(sock)
    time.sleep(1)
    for sock in held:
        sock.close()


def answers_that_nobody_reads(d):
    padding = [{"name": f"p{i}", "host": f"h{i}.example",
                "path-prefix": "/one/", "kind": "non_idempotent",
                "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0,
                "service": "s-one", "max-attempts": 3, "stretch": 50.0,
                "public": False} for i in range(900)]
    d.version += 1
    config = d.configuration()
    config["routes"] += padding
    assert d.operator("PUT", "/config", config)[0] == 200
    held = []
    for _ in range(READERS):
        sock = socket.create_connection((d.of("control")[0].ip,
                                         OPERATORS_PORT), timeout=5)
        sock.settimeout(0.5)
        try:
            sock.sendall(request_head("GET", "/config", 0) * 200)
        except OSError:
            pass  # The process no longer reads: that is a bound.
        held.append(sock)
    time.sleep(2)
    for sock in held:
        sock.close()


def long_job(d):
    """A task-spec of 200,000 bytes and 1,000 tasks; the page allows 4,000."""
    body = {"task-spec": "x" * 200000, "steps": [
        {"count": 1000, "cpu": 10, "memory-request-mb": 1,
         "estimated-ms": 500}]}
    d.job_call("POST", "00000000000000c1", body)
    time.sleep(5)


def signals_of_other_kinds(d):
    for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2,
                   signal.SIGALRM, signal.SIGPIPE):
        for node in d.nodes.values():
            if node.popen.poll() is None:
                node.popen.send_signal(number)
        time.sleep(0.3)


def taken_ports(d):
    """Another socket has a process's ports for some seconds at its start."""
    rows = [(d.of("control")[0], INNER_PORT), (d.of("control")[1], STATUS_PORT),
            (d.of("control")[2], OPERATORS_PORT), (d.of("entry")[0], READY_PORT),
            (d.of("entry")[1], CALLERS_PORT)]
    for node, port in rows:
        node.end()
        with socket.socket() as taken:
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            taken.bind((node.ip, port))
            taken.listen()
            node.start()
            time.sleep(2.5)


def ignores_sigpipe(pid):
    """Tells whether main() has begun: its first line ignores SIGPIPE."""
    with open(f"/proc/{pid}/status") as f:
        ignored = int(re.search(r"SigIgn:\s+(\w+)", f.read()).group(1), 16)
    return ignored >> (signal.SIGPIPE - 1) & 1


def signals_at_the_start(d):
    """SIGTERM right after main() has begun is a planned stop."""
    for delay_ms in (0, 2, 10):
        for node in (d.of("control")[0], d.of("entry")[0]):
            node.end()
            with node.lock:
                node.start()
                while not ignores_sigpipe(node.popen.pid):
                    time.sleep(0.0002)
                time.sleep(delay_ms / 1000)
                code = node.end(signal.SIGTERM)
            if code != 0:
                node.own_ends.append(f"{delay_ms} ms: status {code}")
            node.start()


def all_killed_in_turn(d):
    for _ in range(4):
        for node in d.nodes.values():
            node.end()
        for node in d.nodes.values():
            node.settings["first-start"] = "false"
            node.start()
        time.sleep(1)


RUNNING = [bytes_that_are_not_text, bodies_to_callers_port,
           bodies_to_ready_port, bodies_to_operators_port,
           bodies_to_status_port, bytes_to_inner_port,
           answers_that_nobody_reads, long_job, signals_of_other_kinds,
           taken_ports, signals_at_the_start, all_killed_in_turn]

# Settings under which each program must start and serve.
SETTINGS = {
    "as_on_the_page": {},
    "no_services_beside": {"cloud-api.address": "", "advice": ""},
    "no_name": {"node-name": ""},
    "no_memory_limit": {"limits.memory-mb": ""},
    "more_losses_than_members": {"fault-tolerance.machines": "5"},
    "fractions": {"bounds.stop-timeout-ms": "200.0",
                  "fault-tolerance.machines": "1.0",
                  "limits.memory-mb": "260.0"},
    "grown_entry": {"limits.memory-mb": "160"},
}
