"""The configuration under faults, and operators' requests as members stop."""

import http.client
import json
import signal
import threading
import time

import pytest

from config_play import Play
from fleet import wait_until
from platform_deployment import CALLERS_PORT, OPERATORS_PORT, Deployment
from platform_fleet import HOST, KEY

PLAY_SECONDS = 20
LARGE_ROUTES = 1930
# Time for a request to arrive at a member, and for the member to pass it on.
ARRIVAL_SECONDS = 0.15
# A member is suspended again if another one led by the time of the request.
SETUPS = 3


def played(*args, **options):
    play = Play(*args, **options).run()
    print(play.summary(), play.deployment.folder)
    assert not play.broken, play.broken[:10]
    assert len(play.reads) > 100 and len(play.calls) > 300, play.summary()


# Guards against configurations that are lost, come back older, are taken
# though invalid, or are not served at some entry in time.
@pytest.mark.parametrize("seed", [1, 2])
def test_changes_hold_under_faults(seed):
    played(seed, PLAY_SECONDS)


# Two of these changes are on their way at a time, most as a difference to the
# configuration before.
def test_large_changes_hold_under_faults():
    played(3, PLAY_SECONDS, LARGE_ROUTES, pause=0.6)


def end_with_open_request(deployment, method):
    """Stops a follower while the leader is suspended and it has a request.

    Returns what the request got, or None if another member led by then, so
    that the request had a leader to answer it.
    """
    members = deployment.of("control")
    wait_until(lambda: sum(n.leads() for n in members) == 1, 10, "a leader")
    leader = next(n for n in members if n.leads())
    follower = next(n for n in members if n is not leader)
    outcome = []

    def request():
        deployment.version += 1
        body = (json.dumps(deployment.configuration())
                if method == "PUT" else None)
        try:
            outcome.append(follower.call(OPERATORS_PORT, method, "/config",
                                         body)[0])
        except (OSError, http.client.HTTPException) as error:
            outcome.append(repr(error))

    # The leader answers nothing while the follower stops.
    leader.popen.send_signal(signal.SIGSTOP)
    try:
        thread = threading.Thread(target=request)
        thread.start()
        time.sleep(ARRIVAL_SECONDS)
        if outcome:
            others = [n for n in members if n is not leader]
            led = [n.name for n in others if n.leads()]
            thread.join()
            assert led, f"{outcome} while {leader.name} led and was suspended"
            print(outcome, "given by", led, "instead of", leader.name)
            return None
        assert follower.end(signal.SIGTERM) == 0
        thread.join()
    finally:
        leader.popen.send_signal(signal.SIGCONT)
    return outcome[0]


# Guards against a member that ends at once when it stops and cuts the requests
# that it has passed on to the leader.
@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_a_stopping_member_answers_its_open_requests(method):
    with Deployment(entries=0) as deployment:
        deployment.configure()
        for _ in range(SETUPS):
            outcome = end_with_open_request(deployment, method)
            if outcome is not None:
                break
        assert outcome in (200, 503), outcome


class KeptConnections:
    """Threads that send calls one after the other over kept connections."""

    # A request that was sent at the moment of the end may not have been read.
    SLACK_SECONDS = 0.2

    def __init__(self, deployment, threads):
        self.deployment = deployment
        self.stop = threading.Event()
        self.cut, self.answered, self.unread = [], 0, 0
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(i,))
                        for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        nodes = self.deployment.of("entry")
        conn = None
        while not self.stop.wait(0.01 * (number % 5)):
            if conn is None:
                conn = http.client.HTTPConnection(
                    nodes[number % len(nodes)].ip, CALLERS_PORT, timeout=5)
                try:
                    conn.connect()
                except OSError:
                    conn = None
                    time.sleep(0.02)
                    continue
            sent = time.monotonic()
            try:
                conn.request("GET", "/one/", headers={"Host": HOST, "Key": KEY})
                answer = conn.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException) as error:
                seconds = time.monotonic() - sent
                with self.lock:
                    if seconds > self.SLACK_SECONDS:
                        self.cut.append((seconds, repr(error)))
                    else:
                        self.unread += 1
                conn = None
                continue
            with self.lock:
                self.answered += 1
            if answer.getheader("connection") == "close":
                conn.close()
                conn = None

    def end(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()


# Guards against calls that end without an answer around planned work: stops of
# entries and members, SIGHUP and changes of the configuration.
def test_planned_work_cuts_no_call_on_a_kept_connection():
    with Deployment(entries=2) as deployment:
        deployment.configure()
        calls = KeptConnections(deployment, 16)
        for name in ["entry-0", "control-0", "entry-1", "control-1"]:
            for node in deployment.nodes.values():
                node.popen.send_signal(signal.SIGHUP)
            deployment.configure()
            assert deployment.nodes[name].end(signal.SIGTERM) == 0
            deployment.nodes[name].start()
            time.sleep(0.5)
        calls.end()
        print(calls.answered, "answered,", calls.unread, "not read")
        assert calls.answered > 1000
        assert not calls.cut, calls.cut[:10]
