"""Tests of the request path from caller to endpoint with real processes."""

import json
import socket

import pytest

from fleet import Fleet, http_call, wait_until


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as f:
        f.start()
        f.simple_pool()
        f.put(("team", {"Id": "other", "Share": 1, "Limit": 5}))
        f.grant_key("other", "key-other")
        yield f


def test_a_request_is_served(fleet):
    status, headers, body = fleet.call("q", "key-t", "/work?id=a1&ms=5")
    assert (status, body) == (200, b"done a1\n")
    assert headers["almondgate-request-id"]


@pytest.mark.parametrize(
    "queue, key, status, code",
    [
        ("nowhere", "key-t", 404, "not-found"),
        ("q", "", 401, "unauthenticated"),
        ("q", "wrong", 401, "unauthenticated"),
        ("q", "key-other", 403, "forbidden"),
    ],
)
def test_refusals_are_told_and_true(fleet, queue, key, status, code):
    got, headers, body = fleet.call(queue, key, "/work?id=refused")
    problem = json.loads(body)
    assert (got, problem["code"]) == (status, code)
    assert headers["almondgate-outcome"] == "not-run"
    assert "refused" not in fleet.run_counts()


def test_what_never_fits_is_refused_at_once(fleet):
    headers = {"almondgate-size": "slots=99"}
    status, _, body = fleet.call("q", "key-t", headers=headers)
    assert (status, json.loads(body)["code"]) == (422, "never-fits")


def test_bad_headers_are_named(fleet):
    status, _, body = fleet.call("q", "key-t", headers={"almondgate-class": "x"})
    assert status == 400
    assert "almondgate-class" in json.loads(body)["detail"]


def test_each_placement_is_explained(fleet):
    fleet.call("q", "key-t", headers={"almondgate-request-id": "explained-1"})

    def lines():
        logs = "".join(p.log_text() for n, p in fleet.processes.items()
                       if n.startswith("placer"))
        return [row for row in logs.splitlines() if "explained-1" in row]
    # Lines at level info are written in batches.
    wait_until(lines, 5, "the placer's line is written")
    line = lines()[0]
    assert " place: request " in line and "least loaded" in line


def test_an_operator_needs_a_key(fleet):
    port = fleet.public_ports["entry0"]
    assert http_call(port, "GET", "/admin/v1/teams")[0] == 401


def test_a_caller_that_goes_frees_its_place(fleet):
    """HTTP/1 callers that disconnect while waiting leave no open requests."""
    open_before = fleet.metric("entry0", "almondgate_open_requests")
    socks = []
    for i in range(40):
        sock = socket.create_connection(
            ("127.0.0.1", fleet.public_ports["entry0"]))
        sock.sendall(f"GET /q/q/work?id=gone{i}&ms=8000 HTTP/1.1\r\nhost: x\r\n"
                     f"authorization: Bearer key-t\r\n\r\n".encode())
        socks.append(sock)
    wait_until(lambda: fleet.metric("entry0", "almondgate_open_requests")
               >= open_before + 40, 5,
               "all 40 requests are open")
    for sock in socks:
        sock.close()
    wait_until(lambda: fleet.metric("entry0", "almondgate_open_requests")
               == open_before, 3,
               "the abandoned requests are closed")
    assert fleet.call("q", "key-t", "/work?ms=1", timeout=2)[0] == 200
