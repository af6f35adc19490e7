"""Measures the processor time that a change of the configuration costs.

Sends changes one after the other to a follower and to the leader, then reads,
and prints what each process used. Played by hand:
config_cost.py [--routes N ...] [--changes N] [--members N]. The programs are
those of ALMONDGATE_BUILD. With --storm, changes begin at a fixed pace instead,
whether earlier ones have been acknowledged or not, and processes are held to
--share of a core; it prints how long acknowledgements take.
"""

import argparse
import http.client
import json
import random
import threading
import time

from config_play import KEYS, Content
from cpu_quota import Quota, cpu_ns
from platform_deployment import OPERATORS_PORT, Deployment

NS_PER_MS = 1_000_000


class Cost:
    def __init__(self, routes, members):
        self.routes, self.version = routes, 0
        self.rng = random.Random(routes)
        self.content = Content(set(range(6)), {0, 1}, set(KEYS[:3]))
        self.deployment = Deployment(entries=1, members=members)

    def text(self):
        self.version += 1
        self.content = self.content.changed(self.rng)
        return json.dumps(self.content.body(self.version, self.routes))

    def leader(self):
        for node in self.deployment.of("control"):
            if node.leads():
                return node
        raise AssertionError("no member leads")

    def used(self):
        return {name: cpu_ns(node.popen.pid)
                for name, node in self.deployment.nodes.items()}

    def measure(self, what, act, count, receiver):
        """Prints the processor time and the duration of one act."""
        texts = [self.text() for _ in range(count)]
        before, began = self.used(), time.monotonic()
        for text in texts:
            act(text)
        elapsed = time.monotonic() - began
        # Followers apply the last change with the next message.
        time.sleep(0.3)
        after = self.used()
        idle = time.monotonic() - began
        # What the processes use without changes is taken off.
        calm, began = self.used(), time.monotonic()
        time.sleep(1)
        rest = {n: (t - calm[n]) / (time.monotonic() - began)
                for n, t in self.used().items()}
        leader = self.leader().name
        cost = {n: (after[n] - before[n] - rest[n] * idle) / NS_PER_MS / count
                for n in after}
        others = [n for n in cost if n.startswith("control")
                  and n not in (leader, receiver.name)]
        other = max((cost[n] for n in others), default=0)
        print(f"{self.routes} routes, {len(texts[0])} bytes, {what}: "
              f"leader {cost[leader]:.1f} ms, "
              f"receiver {cost[receiver.name]:.1f} ms, "
              f"other follower {other:.1f} ms, "
              f"entry {cost['entry-0']:.2f} ms; "
              f"takes {elapsed / count * 1000:.0f} ms", flush=True)

    def run(self, changes):
        with self.deployment:
            first = self.text()
            deadline = time.monotonic() + 20
            while self.put(self.deployment.of("control")[0], first) != 200:
                assert time.monotonic() < deadline, "no change acknowledged"
                time.sleep(0.1)
            time.sleep(1)
            leader = self.leader()
            follower = next(n for n in self.deployment.of("control")
                            if n is not leader)
            for name, node in (("follower", follower), ("leader", leader)):
                self.measure(f"change sent to the {name}",
                             lambda text, n=node: self.check(n, text),
                             changes, node)
                self.measure(f"read at the {name}",
                             lambda _, n=node: n.call(
                                 OPERATORS_PORT, "GET", "/config"),
                             changes, node)

    def send_until_acked(self, text, delays, seconds=10):
        """Sends a change to members in turn, as an operator does."""
        began = time.monotonic()
        while time.monotonic() < began + seconds:
            try:
                if self.put(self.rng.choice(self.deployment.of("control")),
                            text) == 200:
                    delays.append(time.monotonic() - began)
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)

    def storm(self, gap, seconds, share):
        with self.deployment:
            first = []
            self.send_until_acked(self.text(), first)
            assert first, "no change acknowledged"
            time.sleep(1)
            quota = Quota()
            for node in self.deployment.nodes.values():
                if node.name.startswith("control"):
                    quota.limit(node.popen.pid, share)
            texts = [self.text() for _ in range(int(seconds / gap))]
            delays, threads = [], []
            before, began = self.used(), time.monotonic()
            for i, text in enumerate(texts):
                time.sleep(max(0, began + i * gap - time.monotonic()))
                threads.append(threading.Thread(
                    target=self.send_until_acked, args=(text, delays)))
                threads[-1].start()
            [t.join() for t in threads]
            elapsed = time.monotonic() - began
            used = max((t - before[n]) for n, t in self.used().items())
            quota.close()
            elections = sum(node.log_text().count("became leader")
                            for node in self.deployment.of("control"))
        delays.sort()
        print(f"{self.routes} routes, {len(texts)} changes, one each {gap} s, "
              f"share {share}: {len(delays)} acknowledged, median "
              f"{delays[len(delays) // 2]:.2f} s, longest {delays[-1]:.2f} s; "
              f"the busiest member used {used / elapsed / 1e9:.2f} core; "
              f"{elections} elections", flush=True)

    def put(self, node, text):
        try:
            return node.call(OPERATORS_PORT, "PUT", "/config", text)[0]
        except ConnectionRefusedError:
            return 0

    def check(self, node, text):
        status = self.put(node, text)
        assert status == 200, f"a valid change got {status}"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--routes", type=int, nargs="+",
                        default=[0, 240, 1640, 2500])
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--storm", type=float, metavar="GAP_S")
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--share", type=float, default=0.32)
    options = parser.parse_args()
    for routes in options.routes:
        if options.storm:
            Cost(routes, options.members).storm(options.storm, options.seconds,
                                                options.share)
            continue
        Cost(routes, options.members).run(options.changes)


if __name__ == "__main__":
    main()
