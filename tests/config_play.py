"""Plays changes of the configuration against real processes under faults.

Two operators send changes, among them invalid, repeated and older ones, while
processes are stopped, paused and killed. Readers ask every member for the
configuration and callers use its routes and keys at every entry. What was
allowed is checked afterwards from the times of sending and acknowledgement.
Played by hand: config_play.py SEED [--seconds N] [--routes N] [--tree FOLDER].
With --control-share and --entry-share, processes have these shares of a core.
"""

import argparse
import http.client
import json
import os
import random
import shutil
import signal
import threading
import time

from cpu_quota import Quota
from platform_deployment import (CALLERS_PORT, OPERATORS_PORT, ROOT,
                                 Deployment)
from platform_fleet import HOST

# A version is in force everywhere this long after its acknowledgement.
APPLY_SECONDS = 2.5
# Members answer again this long after the last fault.
CONTACT_SECONDS = 4.0
# A member that has shown a version shows no older one this long afterwards.
ROLLBACK_SECONDS = 0.25
GIVE_UP_SECONDS = 8.0
# A lost disk counts as lost until its member has had this time to catch up.
CATCH_UP_SECONDS = 6.0
CALL_TIMEOUT = 1.0
KEYS = [f"key-{i}" for i in range(6)]
PROBED_ROUTES = 12


class Content:
    """Routes and keys of a configuration: which exist, which are public."""

    def __init__(self, routes, public, keys):
        self.routes, self.public, self.keys = routes, public, keys

    def changed(self, rng):
        routes, public, keys = set(self.routes), set(self.public), set(self.keys)
        for _ in range(rng.randint(1, 3)):
            kind = rng.choice(["route", "route", "key", "public"])
            if kind == "key":
                keys ^= {rng.choice(KEYS)}
            else:
                (routes if kind == "route" else public).__ixor__(
                    {rng.randrange(PROBED_ROUTES)})
        return Content(routes, public, keys)

    def status(self, route, key):
        if route not in self.routes:
            return 404
        return 200 if route in self.public or key in self.keys else 401

    def body(self, version, fillers, timeout=3000):
        names = [f"r{i}" for i in sorted(self.routes)]
        names += [f"f{i}" for i in range(fillers)]
        open_names = {f"r{i}" for i in self.public}
        return {
            "version": version,
            "routes": [{"name": n, "host": HOST, "path-prefix": f"/{n}/",
                        "kind": "non_idempotent", "timeout-ms": timeout,
                        "target-latency-ms": 600, "priority": 0,
                        "service": "s-one", "max-attempts": 3, "stretch": 50.0,
                        "public": n in open_names} for n in names],
            "services": [{"name": "s-one", "standby": False,
                          "admission-check": False}],
            "tenants": [{"name": "t", "api-keys": sorted(self.keys),
                         "weight": 1, "upper-limit": {}},
                        {"name": "u", "api-keys": ["key-of-u"], "weight": 1,
                         "upper-limit": {}}]}


class Change:
    """A valid change and what its operator saw of it.

    `other` is the change of a second operator under the same version, if there
    is one: both are acknowledged, and one of them takes effect.
    """

    def __init__(self, version, content, text):
        self.version, self.content, self.text = version, content, text
        self.sent = time.monotonic()
        self.acked = None
        self.other = None

    def contents(self):
        return [self.content] + ([self.other.content] if self.other else [])

    def texts(self):
        return [self.text] + ([self.other.text] if self.other else [])


def invalid_bodies(body):
    """Returns texts of invalid configurations made from a valid one."""
    def changed(change):
        other = json.loads(json.dumps(body))
        change(other)
        return json.dumps(other)
    text = json.dumps(body)
    return [
        changed(lambda c: c["routes"].append(
            {**c["routes"][0], "name": "other"} if c["routes"] else {})),
        changed(lambda c: c["tenants"][1]["api-keys"].extend(
            c["tenants"][0]["api-keys"] or ["key-of-u"])),
        changed(lambda c: c["services"].clear() or c["routes"].append({
            "name": "z", "host": HOST, "path-prefix": "/z/", "timeout-ms": 1,
            "service": "s-none"})),
        changed(lambda c: c["routes"].append({
            "name": "z", "host": HOST, "path-prefix": "/z/", "timeout-ms": 0,
            "service": "s-one"})),
        changed(lambda c: c.update(routes={})),
        text[:-1], text[:len(text) // 2], text + "}",
    ]


class Play:
    def __init__(self, seed, seconds, fillers=0, tree=ROOT, target=None,
                 entries=3, pause=0.25, members=3, shares=None, wipes=False,
                 races=False):
        self.rng = random.Random(seed)
        self.seconds, self.fillers, self.pause = seconds, fillers, pause
        self.deployment = Deployment(tree=tree, target=target, entries=entries,
                                     members=members, changes={
                                         "fault-tolerance.machines":
                                         str((members - 1) // 2)})
        self.wipes, self.races = wipes, races
        # Shares of a core by role; none means no limit.
        self.shares = shares or {}
        self.quota = Quota() if self.shares else None
        self.lock = threading.Lock()
        self.changes = {}
        self.content = Content(set(range(6)), {0, 1}, set(KEYS[:3]))
        self.version = 0
        self.broken = []
        # The text under which each version was read first.
        self.shown = {}
        self.reads, self.calls, self.repeats = [], [], 0
        self.counts = {}
        self.stop = threading.Event()
        self.resent = 0

    # --- operators

    def count(self, what):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def break_rule(self, text):
        with self.lock:
            self.broken.append(text)

    def put(self, rng, text, read_answer=True):
        """Sends a change to a member; returns the status, 0 without answer."""
        node = rng.choice(self.deployment.of("control"))
        conn = http.client.HTTPConnection(node.ip, OPERATORS_PORT,
                                          timeout=CALL_TIMEOUT)
        try:
            conn.request("PUT", "/config", text)
            if not read_answer:
                return 0
            answer = conn.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            conn.close()

    def next_change(self, rng):
        with self.lock:
            self.version += rng.randint(1, 5)
            self.content = self.content.changed(rng)
            change = Change(self.version, self.content, json.dumps(
                self.content.body(self.version, self.fillers)))
            self.changes[change.version] = change
        return change

    def race(self, rng):
        """Two operators send different changes under one version at once."""
        with self.lock:
            self.version += rng.randint(1, 5)
            pair = [Change(self.version, content, json.dumps(
                content.body(self.version, self.fillers)))
                for content in (self.content.changed(rng),
                                self.content.changed(rng))]
            pair[0].other = pair[1]
            self.changes[self.version] = pair[0]
        threads = [threading.Thread(target=self.send_until_acked, args=(
            random.Random(rng.random()), change)) for change in pair]
        [t.start() for t in threads]
        [t.join() for t in threads]
        # The first acknowledgement of either promises the version.
        acks = [c.acked for c in pair if c.acked]
        pair[0].acked = min(acks, default=None)
        self.count("race" if acks else "race, not acknowledged")

    def send_until_acked(self, rng, change, seconds=GIVE_UP_SECONDS):
        deadline = time.monotonic() + seconds
        lose_answer = rng.random() < 0.2
        while time.monotonic() < deadline:
            status = self.put(rng, change.text, not lose_answer)
            lose_answer = False
            if status == 200:
                if change.acked is None:
                    change.acked = time.monotonic()
                return True
            if 400 <= status < 500:
                self.break_rule(f"valid change {change.version} refused with "
                                f"{status}")
                return False
            time.sleep(0.05)
        return False

    def send_invalid(self, rng):
        with self.lock:
            self.version += 1
            version, content = self.version, self.content.changed(rng)
        text = rng.choice(invalid_bodies(content.body(version, self.fillers)))
        status = self.put(rng, text)
        if status == 200:
            self.break_rule(f"invalid {version} acknowledged: {text[-200:]}")
        self.count(f"invalid {status}")

    def send_again(self, rng, newest):
        with self.lock:
            acked = [c for c in self.changes.values() if c.acked]
        if not acked:
            return
        change = (max(acked, key=lambda c: c.version) if newest
                  else rng.choice(acked))
        status = self.put(rng, change.text)
        if 400 <= status < 500:
            self.break_rule(f"acknowledged {change.version} sent again: {status}")
        self.count(f"again {status}")

    def send_other_content(self, rng):
        """Sends other content under an acknowledged version."""
        with self.lock:
            acked = [c for c in self.changes.values() if c.acked]
        if not acked:
            return
        change = max(acked, key=lambda c: c.version)
        other = Content(set(), set(), set(KEYS))
        status = self.put(rng, json.dumps(
            other.body(change.version, self.fillers)))
        self.count(f"other content {status}")

    def operate(self, seed):
        rng = random.Random(seed)
        while not self.stop.wait(rng.uniform(0.5, 1.5) * self.pause):
            turn = rng.random()
            if self.races and turn < 0.15:
                self.race(rng)
            elif turn < 0.6:
                acked = self.send_until_acked(rng, self.next_change(rng))
                self.count("acknowledged" if acked else "not acknowledged")
            elif turn < 0.75:
                self.send_invalid(rng)
            elif turn < 0.85:
                self.send_again(rng, False)
            elif turn < 0.93:
                self.send_again(rng, True)
            else:
                self.send_other_content(rng)

    # --- readers and callers

    def read(self, node):
        conn = None
        while not self.stop.wait(0.03):
            sent = time.monotonic()
            try:
                # Kept-alive connections outlive changes of leader.
                conn = conn or http.client.HTTPConnection(
                    node.ip, OPERATORS_PORT, timeout=6)
                conn.request("GET", "/config")
                answer = conn.getresponse()
                text = answer.read().decode()
            except (OSError, http.client.HTTPException):
                if conn:
                    conn.close()
                conn = None
                continue
            if answer.status == 200:
                self.reads.append((sent, time.monotonic(), node.name, text))
            elif answer.status < 500:
                self.break_rule(f"read at {node.name}: {answer.status}")

    def call(self, node, seed):
        rng = random.Random(seed)
        conn = None
        while not self.stop.wait(0.02):
            route, key = rng.randrange(PROBED_ROUTES), rng.choice(KEYS)
            sent = time.monotonic()
            try:
                conn = conn or http.client.HTTPConnection(
                    node.ip, CALLERS_PORT, timeout=6)
                conn.request("GET", f"/r{route}/",
                             headers={"Host": HOST, "Key": key})
                answer = conn.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException):
                if conn:
                    conn.close()
                conn = None
                continue
            self.calls.append((sent, time.monotonic(), node.name, route, key,
                               answer.status))
            if answer.getheader("connection") == "close":
                conn.close()
                conn = None

    # --- faults

    def limit_processes(self):
        """Passes each process to the limiter, also those started later."""
        known = set()
        while not self.deployment.stopping.wait(0.01):
            for node in self.deployment.nodes.values():
                pid = node.popen.pid
                share = self.shares.get(node.name.split("-")[0])
                if share and pid not in known:
                    known.add(pid)
                    self.quota.limit(pid, share)

    def pause_node(self, node, seconds):
        with node.lock:
            popen = node.popen
            if popen.poll() is not None:
                return
            if self.quota:
                self.quota.hold(popen.pid)
                # The limiter polls more often than this.
                time.sleep(0.02)
            popen.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        with node.lock:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
            if self.quota:
                self.quota.free(popen.pid)

    def leader(self):
        for node in self.deployment.of("control"):
            try:
                if node.leads(timeout=0.3):
                    return node
            except (OSError, http.client.HTTPException):
                pass
        return self.deployment.of("control")[0]

    def wipe(self, nodes):
        """Takes the disks of members away; they start again without one."""
        for node in nodes:
            node.end()
            shutil.rmtree(node.settings["data-directory"])
            os.mkdir(node.settings["data-directory"])

    def newest(self):
        return max((c.version for c in list(self.changes.values())
                    if c.acked), default=0)

    def fault_with_lost_disks(self):
        members = self.deployment.of("control")
        lost = self.rng.randint(1, (len(members) - 1) // 2)
        how = self.rng.choice(["alone", "others killed", "after ack"])
        victims = self.rng.sample(members, lost)
        if how == "after ack":
            leader = self.leader()
            victims = [leader] + [n for n in victims if n is not leader]
            victims = victims[:lost]
            known, deadline = self.newest(), time.monotonic() + 3
            while self.newest() == known and time.monotonic() < deadline:
                time.sleep(0.001)
        self.count(f"{lost} lost disks, {how}")
        if how == "others killed":
            for node in members:
                if node not in victims:
                    node.end()
        self.wipe(victims)
        time.sleep(self.rng.choice([0, 0.5]))
        for node in members:
            if node.popen.poll() is not None:
                node.start()
        time.sleep(CATCH_UP_SECONDS)

    def fault(self):
        if self.wipes and self.rng.random() < 0.4:
            self.fault_with_lost_disks()
            return
        members = self.deployment.of("control")
        entries = self.deployment.of("entry")
        kind = self.rng.choice([
            "kill leader", "stop leader", "pause leader", "pause member",
            "pause entry", "hang up", "kill all", "stop entry", "kill two",
            "pause two"])
        member, entry = self.rng.choice(members), self.rng.choice(entries)
        seconds = self.rng.choice([0.3, 0.6, 1.5, 4.0])
        self.count(kind)
        if kind in ("kill leader", "stop leader"):
            node = self.leader()
            node.end(signal.SIGKILL if kind == "kill leader"
                     else signal.SIGTERM)
            time.sleep(0.3)
            node.start()
        elif kind == "pause leader":
            self.pause_node(self.leader(), seconds)
        elif kind == "pause member":
            self.pause_node(member, seconds)
        elif kind == "pause entry":
            self.pause_node(entry, seconds)
        elif kind == "pause two":
            two = self.rng.sample(members, 2)
            threads = [threading.Thread(target=self.pause_node,
                                        args=(n, seconds)) for n in two]
            [t.start() for t in threads]
            [t.join() for t in threads]
        elif kind == "hang up":
            for node in members + entries:
                with node.lock:
                    if node.popen.poll() is None:
                        node.popen.send_signal(signal.SIGHUP)
        elif kind == "stop entry":
            entry.end(signal.SIGTERM)
            entry.start()
        else:
            some = members if kind == "kill all" else self.rng.sample(members, 2)
            for node in some:
                node.end()
            time.sleep(self.rng.choice([0, 0.5]))
            for node in some:
                node.start()

    # --- checks

    def newest_acked(self, before):
        """The highest version acknowledged before a time, 0 if none."""
        return max((c.version for c in self.changes.values()
                    if c.acked and c.acked <= before), default=0)

    def check_read(self, sent, member, text):
        version = json.loads(text)["version"]
        change = self.changes.get(version)
        if not change or text not in change.texts():
            self.break_rule(f"{member} shows {version}, not as it was sent")
        elif self.shown.setdefault(version, text) != text:
            self.break_rule(f"{member} shows {version} with the content of "
                            "the other operator, after it was shown otherwise")
        if version < self.newest_acked(sent - APPLY_SECONDS):
            self.break_rule(
                f"{member} shows {version} at {sent:.3f}, older than "
                f"{self.newest_acked(sent - APPLY_SECONDS)}")
        return version

    def check_reads(self):
        shown = []
        for sent, got, member, text in self.reads:
            shown.append((sent, got, member, self.check_read(sent, member, text)))
        # Answers in the order of their ends, reads in that of their begins.
        ends = sorted((got, version) for _, got, _, version in shown)
        highest, at = 0, 0
        for sent, _, member, version in sorted(shown):
            while at < len(ends) and ends[at][0] <= sent - ROLLBACK_SECONDS:
                highest = max(highest, ends[at][1])
                at += 1
            if version < highest:
                self.break_rule(f"{member} shows {version} at {sent:.3f} after "
                                f"{highest} was shown")

    def check_calls(self):
        ordered = sorted(self.changes.values(), key=lambda c: c.version)
        for sent, got, entry, route, key, status in self.calls:
            if status >= 500:
                continue
            low = self.newest_acked(sent - APPLY_SECONDS)
            allowed = {content.status(route, key) for c in ordered
                       if c.version >= low and c.sent <= got
                       for content in c.contents()}
            if status not in allowed:
                self.break_rule(f"{entry} answered {status} for route {route}, "
                                f"{key} at {sent:.3f}; allowed {allowed} from "
                                f"version {low} on")

    def read_back(self):
        """The configuration after the last fault is the newest."""
        deadline = time.monotonic() + CONTACT_SECONDS
        found = 0
        while time.monotonic() < deadline:
            for node in self.deployment.of("control"):
                sent = time.monotonic()
                try:
                    status, text = node.call(OPERATORS_PORT, "GET", "/config")
                except (OSError, http.client.HTTPException):
                    continue
                if status == 200:
                    found += 1
                    self.reads.append((sent, time.monotonic(), node.name,
                                       text.decode()))
            time.sleep(0.1)
        if not found:
            self.break_rule("the configuration is not read back")
        elif (json.loads(self.reads[-1][3])["version"] <
              self.newest_acked(time.monotonic())):
            self.break_rule("read back older than acknowledged")

    def run(self):
        with self.deployment:
            limits = threading.Thread(target=self.limit_processes, daemon=True)
            if self.quota:
                limits.start()
            first = self.next_change(self.rng)
            if not self.send_until_acked(self.rng, first, 20):
                raise AssertionError("the first change is not acknowledged")
            for node in self.deployment.nodes.values():
                node.settings["first-start"] = "false"
            threads = [threading.Thread(target=self.operate,
                                        args=(self.rng.random(),))
                       for _ in range(2)]
            for node in self.deployment.of("control"):
                threads.append(threading.Thread(target=self.read, args=(node,)))
            for node in self.deployment.of("entry"):
                for _ in range(2):
                    threads.append(threading.Thread(
                        target=self.call, args=(node, self.rng.random())))
            [t.start() for t in threads]
            end = time.monotonic() + self.seconds
            while time.monotonic() < end:
                time.sleep(self.rng.uniform(0.5, 1.5))
                self.fault()
            self.stop.set()
            [t.join() for t in threads]
            self.read_back()
            self.send_again(self.rng, True)
        if self.quota:
            limits.join()
            self.counts["stops by quota"] = sum(self.quota.close().values())
        for name, ends in self.deployment.own_ends().items():
            self.break_rule(f"{name} ended by itself: {ends}")
        self.check_reads()
        self.check_calls()
        return self

    def summary(self):
        answered = sum(1 for c in self.calls if c[5] < 500)
        return (f"{len(self.changes)} valid changes, {len(self.reads)} reads, "
                f"{answered} of {len(self.calls)} calls answered below 500, "
                f"{dict(sorted(self.counts.items()))}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("seed", type=int)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--routes", type=int, default=0)
    parser.add_argument("--pause", type=float, default=0.25)
    parser.add_argument("--tree", default=ROOT)
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--wipes", action="store_true",
                        help="members lose their disks")
    parser.add_argument("--races", action="store_true",
                        help="operators send two changes under one version")
    parser.add_argument("--control-share", type=float)
    parser.add_argument("--entry-share", type=float)
    options = parser.parse_args()
    shares = {"control": options.control_share, "entry": options.entry_share}
    play = Play(options.seed, options.seconds, options.routes,
                tree=options.tree, target=options.tree + "/build",
                pause=options.pause, members=options.members,
                entries=options.entries, wipes=options.wipes,
                races=options.races,
                shares={r: s for r, s in shares.items() if s}).run()
    print(f"seed {options.seed} {options.tree}: {play.summary()}")
    print(f"broken {len(play.broken)} {play.deployment.folder}")
    for text in play.broken[:20]:
        print("  " + text)


if __name__ == "__main__":
    main()
