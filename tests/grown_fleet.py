"""A fleet of the size of a grown site, with real processes.

Endpoints of five services in several zones, members, entries, and the faults of
whole groups of endpoints, of leaders and of entries. The endpoints are those of
incarnation_fleet.py.
"""

import asyncio
import json
import random
import signal
import time
from collections import namedtuple

from incarnation_fleet import Endpoint, IncarnationFleet, RealProcesses
from platform_deployment import HOST, KEY, READY_PORT

Form = namedtuple("Form", "members entries services zones control_mb tolerated "
                          "jobs_a_second lasting_jobs groups")
FORMS = {
    "grown": Form(5, 12, (61, 69, 78, 85, 57), 4, 384, 2, 25, 10, 2),
    "small": Form(3, 7, (9, 10, 11, 12, 7), 3, 384, 1, 5, 3, 2),
    "short": Form(5, 4, (6, 6, 6, 6, 6), 3, 384, 2, 4, 2, 1),
}
ENTRY_MB = 160
CPU = 64000
# As long as a group is down in the pattern of the recorded days.
BURST_SECONDS = 0.6
BURST_JOBS = 6
RACK = 12
TICK_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.5
WATCH_SECONDS = 0.1
# The bounds of the grown sites, in seconds.
CONTACT_SECONDS = 4.0
CONFIG_APPLY_SECONDS = 2.5
MAX_STRETCH_SECONDS = 6.0
GRACE_SECONDS = 6.0
LOSS_SLACK_SECONDS = 0.2
CLIENT_SECONDS = 3.0
PROBE_TIMEOUT_SECONDS = 1.0
MAX_NAMES_A_NET = 250

Answer = namedtuple("Answer", "status body sent ended how")


async def request(ip, port, method, path, body=None, key=KEY,
                  timeout=CLIENT_SECONDS, host=HOST):
    """Calls on a new connection and says how the call ended.

    `how` is "answered", "refused" (no connection), "timeout", or "cut" (the
    connection ended without a complete answer).
    """
    data = (body if isinstance(body, bytes) else
            b"" if body is None else json.dumps(body).encode())
    text = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nKey: {key}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Deadline-Remaining-Ms: {int(timeout * 1000)}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n")
    sent, writer, how = time.monotonic(), None, "refused"
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            how = "cut"
            writer.write(text.encode() + data)
            await writer.drain()
            sent = time.monotonic()
            raw = await reader.read()
        head, _, content = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").lower().split("\r\n")
        length = [int(v.split(":")[1]) for v in lines
                  if v.startswith("content-length:")]
        if head and (not length or len(content) == length[0]):
            status = int(lines[0].split(" ")[1])
            return Answer(status, content, sent, time.monotonic(), "answered")
    except TimeoutError:
        how = "timeout"
    except (OSError, IndexError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return Answer(0, b"", sent, time.monotonic(), how)


class GrownDeployment(RealProcesses):
    """The deploy file's roles in the size of a form."""

    watch_seconds = WATCH_SECONDS

    def __init__(self, form, tree, build):
        zones = [f"z{i + 1}" for i in range(form.zones)]
        super().__init__(tree=tree, target=build, entries=form.entries,
                         zones=zones, members=form.members,
                         memory_mb=form.control_mb, changes={
                             "fault-tolerance.machines": str(form.tolerated),
                             "bounds.stop-timeout-ms": "900"})
        for node in self.of("entry"):
            node.settings["limits.memory-mb"] = str(ENTRY_MB)
            node.limit_kb = ENTRY_MB << 10


class GrownFleet(IncarnationFleet):
    """The endpoints of a form beside its processes, and their disturbances."""

    tick_seconds = TICK_SECONDS
    heartbeat_seconds = HEARTBEAT_SECONDS
    late_orders_end_with_incarnation = True

    def __init__(self, form, seed, late_share, deployment):
        self.form = form
        self.rotation = list(range(form.entries))
        # (begin, end or None, kind, what): kind is core, entry or endpoint.
        self.disturbances = []
        super().__init__(seed, late_share, 0, deployment)

    def make_endpoints(self, net, seed):
        made = []
        for s, size in enumerate(self.form.services):
            for i in range(size):
                n = len(made)
                ip = (f"{net}.{100 + n // MAX_NAMES_A_NET}."
                      f"{n % MAX_NAMES_A_NET + 1}")
                made.append(Endpoint(
                    self, n, ip, seed, f"s-{s}", f"z{i % self.form.zones + 1}",
                    n // RACK, CPU))
        return made

    def disturb(self, kind, what):
        """Begins a disturbance; the returned function ends it."""
        at = len(self.disturbances)
        self.disturbances.append((time.monotonic(), None, kind, what))
        self.log(f"{what} begins")

        def end():
            begin = self.disturbances[at][0]
            self.disturbances[at] = (begin, time.monotonic(), kind, what)
            self.log(f"{what} is over")
        return end

    def is_calm(self, begin, end, kinds, before=CONTACT_SECONDS):
        """Whether no disturbance touches the span or the time before it."""
        return not any(
            k in kinds and b <= end and (e is None or e >= begin - before)
            for b, e, k, _ in self.disturbances)

    async def follow_readiness(self):
        """Takes an entry out of rotation after two misses, as a platform."""
        misses = [0] * len(self.entries)
        while True:
            answers = await asyncio.gather(*[
                request(n.ip, READY_PORT, "GET", "/readiness",
                        timeout=PROBE_TIMEOUT_SECONDS) for n in self.entries])
            for i, answer in enumerate(answers):
                misses[i] = 0 if answer.status == 200 else misses[i] + 1
            ready = [i for i, m in enumerate(misses) if m < 2]
            self.rotation = ready or list(range(len(self.entries)))
            await asyncio.sleep(1)


class GrownFaults:
    """Groups of endpoints that return and are cut off; leaders; entries."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.counts = {}
        self.cut = set()

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    async def run(self, until):
        await asyncio.gather(
            self.stop_entries(until), self.disturb_leaders(until),
            *[self.cut_groups(until) for _ in range(self.fleet.form.groups)])

    async def cut_groups(self, until):
        """The pattern of deploy/days/recut.toml and recut-kill.toml."""
        draw = self.random
        while time.monotonic() < until:
            service = f"s-{draw.randrange(len(self.fleet.form.services))}"
            zone = f"z{draw.randrange(self.fleet.form.zones) + 1}"
            if (service, zone) in self.cut:
                await asyncio.sleep(0.5)
                continue
            self.cut.add((service, zone))
            group = [e for e in self.fleet.endpoints
                     if e.service == service and e.zone == zone]
            keeps, kills = draw.random() < 0.5, draw.random() < 0.4
            crash = draw.choice(["reset", "kept", "kept", "silent"])
            gap = draw.choice([2, 2, draw.uniform(0.05, 0.8)])
            cut_seconds = draw.choice([9, 9, draw.uniform(2, 6)])
            what = f"cut of {service} {zone}"
            self.count("cut kept" if keeps else "cut dropped")
            over = self.fleet.disturb(
                "endpoint", f"crash ({crash}) and {what}")
            for endpoint in group:
                endpoint.crash(crash == "reset", crash == "silent")
            # Starts are under way while the group is down, and in the cut.
            await self.burst(service)
            for endpoint in group:
                await endpoint.begin()
            await asyncio.sleep(gap * 0.7)
            if kills:
                self.fleet.spawn(self.fault_of_leader("kill"))
            await asyncio.sleep(gap * 0.3)
            for endpoint in group:
                endpoint.cut_off("both", keeps)
            await self.burst(service)
            await asyncio.sleep(cut_seconds - BURST_SECONDS)
            for endpoint in group:
                endpoint.heal(resets=False)
            over()
            self.cut.discard((service, zone))
            # The longer gap leaves a calm span for the rules that ask for it.
            await asyncio.sleep(draw.choice([2.4, 9]))

    async def burst(self, service):
        for _ in range(BURST_JOBS):
            self.fleet.submit(int(service[2:]))
            await asyncio.sleep(BURST_SECONDS / BURST_JOBS)

    async def stop_entries(self, until):
        draw = self.random
        while time.monotonic() < until:
            await asyncio.sleep(draw.uniform(1, 4))
            node = draw.choice(self.fleet.entries)
            if draw.random() < 0.3:
                self.count("entry SIGHUP")
                over = self.fleet.disturb("hup", node.name)
                node.popen.send_signal(signal.SIGHUP)
                over()
                continue
            self.count("entry SIGTERM")
            over = self.fleet.disturb("term", node.name)
            await asyncio.to_thread(node.end, signal.SIGTERM)
            await asyncio.sleep(0.5)
            node.start()
            over()

    async def disturb_leaders(self, until):
        draw = self.random
        while time.monotonic() < until:
            await asyncio.sleep(draw.choice([draw.uniform(2, 6),
                                             draw.uniform(8, 16)]))
            await self.fault_of_leader(draw.choice(["stop", "kill", "pause"]))

    async def fault_of_leader(self, kind):
        """Stops, kills or pauses the leader, one member at a time."""
        if any(e is None and k == "core"
               for _, e, k, _ in self.fleet.disturbances):
            return
        over = self.fleet.disturb("core", f"leader {kind}")
        leader = await self.fleet.leader()
        if leader:
            self.count(f"leader {kind}")
            self.fleet.log(f"leader is {leader.name}")
            if kind == "pause":
                leader.popen.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.5, 4))
                leader.popen.send_signal(signal.SIGCONT)
            else:
                number = signal.SIGTERM if kind == "stop" else signal.SIGKILL
                await asyncio.to_thread(leader.end, number)
                await asyncio.sleep(self.random.uniform(0.5, 3))
                leader.start()
        over()
