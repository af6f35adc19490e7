"""What others can make a process hold through the inner port is bounded."""

import json
import re
import signal
import socket
import struct
import threading
import time

import pytest

from fleet import SECRET, Fleet, wait_until
from platform_deployment import memory_kb
from platform_fleet import HOST, KEY, PlatformFleet

LIMIT_MB = 160
JOB_BYTES = 250000
# An idle process has about 15 MB.
MAX_PEAK_MB = 60
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HEADERS, DATA, SETTINGS = 1, 0, 4
END_HEADERS = 4
SENDERS = 8
# For bytes that the kernel still holds.
READ_SECONDS = 1.5


def frame(kind, stream, payload, flags=0):
    return struct.pack(">I", len(payload))[1:] + struct.pack(
        ">BBI", kind, flags, stream) + payload


def field(name, value):
    """A literal field that is not indexed, as RFC 7541 encodes it."""
    def text(s):
        assert len(s) < 127
        return bytes([len(s)]) + s
    return b"\x00" + text(name) + text(value)


def call_head(stream, padding=0, method=b"job"):
    fields = [(b":method", b"POST"), (b":scheme", b"http"),
              (b":authority", b"a"), (b":path", b"/almondgate/1/" + method)]
    fields += [(b"x%d" % i, b"y" * 100) for i in range(padding)]
    block = b"".join(field(n, v) for n, v in fields)
    return frame(HEADERS, stream, block, END_HEADERS)


def bodies():
    """Calls without the secret whose bodies don't end."""
    streams = range(1, 33, 2)
    return [call_head(s) for s in streams] + [
        frame(DATA, s, b"x" * 16384) for _ in range(16) for s in streams]


def header_fields():
    return [call_head(s, 40) for s in range(1, 601, 2)]


def partial_frame():
    return [frame(DATA, 1, b"x" * 16384)[:9000]]


def garbage():
    return [bytes([i * 37 % 251]) * 4096 for i in range(64)]


def send(port, data, held):
    sock = socket.socket()
    sock.settimeout(0.5)
    held.append(sock)
    try:
        sock.connect(("127.0.0.1", port))
        sock.sendall(data)
    except OSError:
        pass  # Refused: the connection holds nothing.


def flood(port, data, connections):
    """Sends `data` on that many connections and leaves them open."""
    held = []

    def run():
        for _ in range(connections // SENDERS):
            send(port, data, held)
    threads = [threading.Thread(target=run) for _ in range(SENDERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return held


def inner_port(process):
    return int(re.search(r"--inner=127.0.0.1:(\d+)",
                         " ".join(process.args)).group(1))


def peak_mb(process):
    return memory_kb(process.popen.pid, "VmHWM") >> 10


def limited_fleet(**options):
    fleet = Fleet(**options)
    for process in fleet.processes.values():
        process.args.append(f"--memory-limit-mb={LIMIT_MB}")
    return fleet


STRANGERS = [bodies, header_fields, partial_frame, garbage]


@pytest.mark.parametrize("name", ["c0", "placer0", "entry0"])
@pytest.mark.parametrize("make", STRANGERS, ids=lambda f: f.__name__)
def test_strangers_on_the_inner_port_cost_little(make, name):
    with limited_fleet(members=1, placers=1, entries=1) as fleet:
        fleet.start()
        process = fleet.processes[name]
        preface = b"" if make is garbage else PREFACE + frame(SETTINGS, 0, b"")
        held = flood(inner_port(process), preface + b"".join(make()), 400)
        time.sleep(READ_SECONDS)
        assert process.alive()
        assert peak_mb(process) < MAX_PEAK_MB
        fleet.wait_ready(name, 5)
        for sock in held:
            sock.close()


def test_idle_strangers_do_not_keep_peers_out():
    """1,000 connections that send nothing, then a member that starts."""
    with limited_fleet(members=3, placers=0, entries=0) as fleet:
        fleet.start()
        fleet.wait_leader()
        late = fleet.processes["c2"]
        late.kill()
        port = inner_port(fleet.processes["c0"])
        held = flood(port, b"", 1000)
        late.start()
        fleet.wait_ready("c2", 10)
        assert peak_mb(fleet.processes["c0"]) < MAX_PEAK_MB

        def closed():
            try:
                return held[-1].recv(1) == b""
            except socket.timeout:
                return False
            except OSError:
                return True
        wait_until(closed, 10, "a stranger's connection is closed")
        for sock in held:
            sock.close()


def job_request():
    body = json.dumps({"task-spec": "x" * JOB_BYTES, "steps": []}).encode()
    return (f"POST /one/1 HTTP/1.1\r\nHost: {HOST}\r\nKey: {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def test_an_entry_holds_little_while_the_leader_is_stopped():
    """Large jobs are sent to an entry whose only control member is stopped."""
    platform = PlatformFleet(run_seconds=0.1)
    for process in platform.fleet.processes.values():
        process.args.append(f"--memory-limit-mb={LIMIT_MB}")
    with platform:
        platform.configure()
        platform.submit("00000000000000a1", 1)
        control = platform.fleet.processes["control"]
        entry = platform.fleet.processes["entry"]
        control.signal(signal.SIGSTOP)
        held = flood(platform.entry_port, job_request(), 240)
        time.sleep(READ_SECONDS)
        control.signal(signal.SIGCONT)
        for sock in held:
            sock.close()
        platform.submit("00000000000000a2", 1)
        assert control.alive() and entry.alive()
        assert peak_mb(entry) < LIMIT_MB
        assert peak_mb(control) < LIMIT_MB


def cbor(value):
    """Encodes small values as RFC 8949 does."""
    if isinstance(value, int):
        assert value < 24
        return bytes([value])
    kind = {str: 0x60, list: 0x80, dict: 0xa0}[type(value)]
    assert len(value) < 24
    head = bytes([kind + len(value)])
    if isinstance(value, str):
        return head + value.encode()
    if isinstance(value, list):
        return head + b"".join(map(cbor, value))
    return head + b"".join(cbor(k) + cbor(v) for k, v in value.items())


def test_a_member_survives_a_message_with_an_unreadable_membership():
    with Fleet(members=3, placers=0, entries=0) as fleet:
        process = fleet.processes["c0"]
        process.start()
        wait_until(lambda: "control member at" in process.log_text(), 10,
                   "start")
        body = cbor({"Kind": 4, "From": "c1", "To": "c0", "Term": 1, "Entries": [
            {"Term": 1, "Index": 1, "Kind": 2, "Data": "unreadable"}]})
        secret = field(b"almondgate-secret", SECRET.encode())
        head = call_head(1, method=b"consensus")[9:] + secret
        data = PREFACE + frame(SETTINGS, 0, b"") + frame(
            HEADERS, 1, head, END_HEADERS) + frame(DATA, 1, body, 1)
        held = []
        send(inner_port(process), data, held)
        assert held[0].recv(65536) != b""
        time.sleep(0.5)
        assert process.alive()
        assert "consensus message ignored" in process.log_text()
