"""HTTP/1.1 requests that servers may read differently, at both entries."""

import re
import socket

import pytest

from fleet import Fleet, free_port, wait_until

BEHIND = "GET {path}?id=behind HTTP/1.1\r\nHost: x\r\n{key}\r\n"

# Each is followed on its connection by a request that must not run.
REFUSED = [
    ("two lengths", "POST {path} HTTP/1.1\r\nHost: x\r\n{key}"
     "Content-Length: 2\r\nContent-Length: 40\r\n\r\nab" + BEHIND),
    ("two equal lengths", "POST {path} HTTP/1.1\r\nHost: x\r\n{key}"
     "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab" + BEHIND),
    ("length and chunked", "POST {path} HTTP/1.1\r\nHost: x\r\n{key}"
     "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
     + BEHIND),
    ("no host", "GET {path} HTTP/1.1\r\n{key}\r\n" + BEHIND),
    ("two hosts", "GET {path} HTTP/1.1\r\nHost: x\r\nHost: y\r\n{key}\r\n"
     + BEHIND),
    ("folded header", "GET {path} HTTP/1.1\r\nHost: x\r\nX-A: 1\r\n 2\r\n"
     "{key}\r\n" + BEHIND),
    ("space before colon", "GET {path} HTTP/1.1\r\nHost: x\r\nX-A : 1\r\n"
     "{key}\r\n" + BEHIND),
    ("dot segments", "GET /q/q/../../admin/v1/teams HTTP/1.1\r\nHost: x\r\n"
     "{key}\r\n" + BEHIND),
    ("encoded dots", "GET /q/q/%2e%2E/work HTTP/1.1\r\nHost: x\r\n{key}\r\n"
     + BEHIND),
    ("scheme", "GET ftp://x{path} HTTP/1.1\r\nHost: x\r\n{key}\r\n" + BEHIND),
]


def exchange(port, text):
    """Sends the bytes; returns all that comes until the server closes."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(text.encode())
        out = b""
        while True:
            try:
                data = sock.recv(65536)
            except ConnectionResetError:
                return out.decode(errors="replace")
            if not data:
                return out.decode(errors="replace")
            out += data


def statuses(answer):
    return [int(s) for s in re.findall(r"HTTP/1\.1 (\d{3}) ", answer)]


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as f:
        f.start()
        f.simple_pool()
        yield f


@pytest.fixture(scope="module")
def platform_entry():
    """Port of the platform's entry, without control members."""
    with Fleet(members=1, placers=0, entries=0) as f:
        port = free_port()
        args = f._common_args("platform", "z0") + [f"--public=127.0.0.1:{port}"]
        f._add("platform", "almondgate-platform-entry", args).start()

        def listens():
            with socket.socket() as sock:
                return sock.connect_ex(("127.0.0.1", port)) == 0

        wait_until(listens, 10, "the platform's entry listens")
        yield port


@pytest.mark.parametrize("name, request_text", REFUSED,
                         ids=[name for name, _ in REFUSED])
def test_ambiguous_requests_are_refused_and_closed(fleet, name, request_text):
    text = request_text.format(path="/q/q/work",
                               key="Authorization: Bearer key-t\r\n")
    assert statuses(exchange(fleet.public_ports["entry0"], text)) == [400]
    assert "behind" not in fleet.run_counts()


@pytest.mark.parametrize("name, request_text", REFUSED,
                         ids=[name for name, _ in REFUSED])
def test_the_platforms_entry_refuses_them_too(platform_entry, name,
                                              request_text):
    text = request_text.format(path="/jobs/0000000000000001", key="Key: k\r\n")
    assert statuses(exchange(platform_entry, text)) == [400]


def test_the_absolute_form_is_accepted(fleet, platform_entry):
    text = ("GET http://x.example/q/q/work?id=absolute&ms=1 HTTP/1.1\r\n"
            "Host: other\r\nAuthorization: Bearer key-t\r\n"
            "Connection: close\r\n\r\n")
    answer = exchange(fleet.public_ports["entry0"], text)
    assert statuses(answer) == [200] and "done absolute" in answer
    text = ("GET http://x.example/jobs/0000000000000001 HTTP/1.1\r\n"
            "Host: other\r\nConnection: close\r\n\r\n")
    assert statuses(exchange(platform_entry, text)) not in ([400], [404])


def test_plain_requests_share_a_connection(fleet):
    key = "Authorization: Bearer key-t\r\n"
    post = ("POST /q/q/work?id={id}&ms=1 HTTP/1.1\r\nHost: x\r\n" + key)
    text = (post.format(id="length") + "Content-Length: 2\r\n\r\nab"
            + post.format(id="chunked") + "Transfer-Encoding: chunked\r\n\r\n"
            "2\r\nab\r\n0\r\n\r\n"
            + post.format(id="last") + "Content-Length: 0\r\n"
            "Connection: close\r\n\r\n")
    answer = exchange(fleet.public_ports["entry0"], text)
    assert statuses(answer) == [200, 200, 200]
    counts = fleet.run_counts()
    assert all(counts[n] == 1 for n in ("length", "chunked", "last"))
