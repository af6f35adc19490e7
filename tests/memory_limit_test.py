"""Callers can't make a process hold more memory than its limit allows.

Each test floods one port and reads the peak memory from /proc.
"""

import selectors
import socket
import time

import pytest

from fleet import Fleet, http_call, wait_until
from platform_fleet import PlatformFleet

LIMIT_MB = 160
PEAK_MB = 110
BODY_BYTES = 262144
CONNECTIONS = 800
FLOOD_SECONDS = 4


def head(method, path, length):
    return (f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()


def peak_mb(process):
    with open(f"/proc/{process.popen.pid}/status") as f:
        rows = dict(line.split(":", 1) for line in f)
    return int(rows["VmHWM"].split()[0]) >> 10


def forget_peak(process):
    with open(f"/proc/{process.popen.pid}/clear_refs", "w") as f:
        f.write("5")


def send_to_all(port, data, connections, seconds=FLOOD_SECONDS):
    """Sends to all connections at once and reads nothing; returns them."""
    poll, held, left = selectors.DefaultSelector(), [], {}
    for _ in range(connections):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", port))
        held.append(sock)
        left[sock] = memoryview(data)
        poll.register(sock, selectors.EVENT_WRITE)
    end = time.monotonic() + seconds
    while left and time.monotonic() < end:
        for key, _ in poll.select(0.1):
            sock = key.fileobj
            try:
                left[sock] = left[sock][sock.send(left[sock]):]
            except BlockingIOError:
                continue
            except OSError:
                left[sock] = b""  # Refused: the connection holds nothing.
            if not left[sock]:
                poll.unregister(sock)
                del left[sock]
    return held


def check_flood(process, port, data, connections, small):
    """A small request is served, and memory stays below the limit."""
    forget_peak(process)
    held = send_to_all(port, data, connections)
    assert http_call(port, *small, timeout=5)[0] < 500
    for sock in held:
        sock.close()
    assert http_call(port, *small, timeout=5)[0] < 500
    assert process.alive()
    assert peak_mb(process) < PEAK_MB


def limit(process):
    process.args.append(f"--memory-limit-mb={LIMIT_MB}")


@pytest.fixture(scope="module")
def platform():
    fleet = PlatformFleet(0.5)
    for process in fleet.fleet.processes.values():
        limit(process)
    with fleet:
        fleet.configure()
        yield fleet


@pytest.fixture(scope="module")
def product():
    with Fleet(members=1, placers=1, entries=1) as fleet:
        for process in fleet.processes.values():
            limit(process)
        fleet.start()
        yield fleet


PLATFORM_PORTS = [("entry", "entry", "POST", "/nowhere/1", "/nowhere/"),
                  ("entry", "entry status", "POST", "/readyz", "/readyz"),
                  ("control", "control", "PUT", "/config", "/wave-get/x"),
                  ("control", "control status", "POST", "/readyz", "/healthz")]


@pytest.mark.parametrize("name, port, method, path, small", PLATFORM_PORTS,
                         ids=[row[1] for row in PLATFORM_PORTS])
def test_bodies_without_their_last_byte_to_the_platforms_ports(
        platform, name, port, method, path, small):
    data = head(method, path, BODY_BYTES) + b"x" * (BODY_BYTES - 1)
    check_flood(platform.fleet.processes[name], platform.ports[port], data,
                CONNECTIONS, ("GET", small))


@pytest.mark.parametrize("name", ["c0", "placer0", "entry0"])
def test_bodies_without_their_last_byte_to_status_ports(product, name):
    data = head("POST", "/readyz", BODY_BYTES) + b"x" * (BODY_BYTES - 1)
    check_flood(product.processes[name], product.status_ports[name], data,
                CONNECTIONS, ("GET", "/healthz"))


def test_bodies_without_their_last_byte_to_an_entry(product):
    data = head("POST", "/q", BODY_BYTES) + b"x" * (BODY_BYTES - 1)
    check_flood(product.processes["entry0"], product.public_ports["entry0"],
                data, CONNECTIONS, ("GET", "/admin/v1/x"))


def switches_to_http2(port):
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
                     b"\0\0\0\4\0\0\0\0\0")
        try:
            return sock.recv(4096).startswith(b"\0\0")
        except ConnectionError:
            return False  # Closed without an answer.


# HTTP/2 streams have windows of their own, which the body sizes don't bound.
def test_only_the_callers_of_the_product_may_use_http2(platform, product):
    assert switches_to_http2(product.public_ports["entry0"])
    for port in list(platform.ports.values()):
        if port != platform.ports["inner"]:
            assert not switches_to_http2(port)
    for port in product.status_ports.values():
        assert not switches_to_http2(port)


def test_answers_that_nobody_reads(platform):
    padding = [{"name": f"p{i}", "host": f"h{i}.example",
                "path-prefix": "/one/", "kind": "non_idempotent",
                "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0,
                "service": "s-one", "max-attempts": 3, "stretch": 50.0,
                "public": False} for i in range(900)]
    config = {"version": 2, "routes": padding, "services": [
        {"name": "s-one", "standby": False, "admission-check": False}],
        "tenants": []}
    wait_until(lambda: platform.control("PUT", "/config", config) == 200, 10,
               "a large configuration is accepted")
    check_flood(platform.fleet.processes["control"], platform.control_port,
                head("GET", "/config", 0) * 20, CONNECTIONS,
                ("GET", "/wave-get/x"))
