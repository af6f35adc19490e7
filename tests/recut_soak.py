"""A seeded soak of zones that restart, are cut off and whose VMs move.

Checks the rule on two runs of a task (TWICE) and that accepted jobs complete.
"""

import asyncio
import json
import os
import random
import re
import signal
import time

from incarnation_soak import check_twice
from platform_deployment import ROOT, ZONES
from recut_fleet import SERVING, RecutDeployment, RecutFleet, draw_traits

ENTRIES = 2
# A job that nothing of has run for so long at the end stands still.
IDLE_SECONDS = 8
STOP_INTERVAL_SECONDS = 29
# Tasks of the timed queues: jobs a second, steps, tasks, ms, millicores.
QUEUES = [(5.63, 1.6, 6, 800, 4600), (0.674, 2, 8, 2100, 9900),
          (7.04, 1.6, 6, 800, 4600), (0.823, 2, 8, 2100, 9900)]
LONG_FACTOR = 12
PEAK, REST, TURN_SECONDS = 5, 0.05, 6


class Callers:
    """Submits timed jobs, five times as many by turns, and lasting ones."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed * 7 + 1)
        self.accepted = {}
        self.lasting = []
        self.sent = self.rejected = 0

    async def run(self, until):
        for s in range(SERVING):
            for _ in range(3):
                self.fleet.spawn(self.submit(s, True))
        await asyncio.gather(*[self.serve(s, until) for s in range(SERVING)])

    async def serve(self, queue, until):
        draw, begin = self.random, time.monotonic()
        offset = draw.uniform(0, 4 * TURN_SECONDS)
        while time.monotonic() < until:
            turn = (time.monotonic() - begin + offset) // TURN_SECONDS % 5
            rate = QUEUES[queue][0] * self.fleet.traits["load"] * (PEAK if turn == queue else
                                       REST if turn == 4 else 0.5)
            await asyncio.sleep(min(draw.expovariate(rate), 1.0))
            self.fleet.spawn(self.submit(queue, False))

    def job(self, queue, lasts):
        draw, traits = self.random, self.fleet.traits
        _, steps, count, ms, cpu = QUEUES[queue]
        count = traits["tasks"] or count
        step = {"count": count, "cpu": cpu, "memory-request-mb": 2000,
                "estimated-ms": ms}
        if lasts:
            step.update({"count": 5, "long-running": True, "image": f"im{queue}",
                         "anti-affinity": draw.choice([1, 2]), "cpu": 8000})
            if draw.random() < 0.5:
                step["may-miss"] = 2
            return {"task-spec": "0", "steps": [step]}
        real = int(ms * draw.uniform(0.8, 1.2))
        if draw.random() < traits["long_share"]:
            real *= LONG_FACTOR
        text = str(real)
        if draw.random() < traits["checkpoints"]:
            step["checkpointing"] = True
            text += "c"
        made = [step]
        if draw.random() < steps - 1:
            made.append({**step, "after": [0]})
        return {"task-spec": text, "steps": made}

    async def submit(self, queue, lasts):
        draw = self.random
        path = f"/{'l' if lasts else 'q'}{queue}/{draw.getrandbits(64):016x}"
        spec = self.job(queue, lasts)
        self.sent += 1
        for attempt in range(40 if lasts else 5):
            status, _ = await self.fleet.call("POST", path, spec,
                                              draw.randrange(ENTRIES))
            if status == 200:
                self.accepted[path] = time.monotonic()
                if lasts:
                    self.lasting.append(path)
                break
            if status in (429, 503) and not lasts:
                self.rejected += 1
                return
            await asyncio.sleep(0.2)

    async def check_completion(self, seconds):
        until = time.monotonic() + seconds
        for path in self.lasting:
            await self.fleet.call("DELETE", path)
        states = {p: "unknown" for p in self.accepted
                  if p not in self.lasting}
        limit = asyncio.Semaphore(20)

        async def ask(path):
            async with limit:
                status, body = await self.fleet.call("GET", path)
                states[path] = (json.loads(body)["state"] if status == 200
                                else f"status {status}")
        while time.monotonic() < until:
            left = [p for p, s in states.items() if s != "completed"]
            if not left:
                break
            await asyncio.gather(*[ask(p) for p in left])
            await asyncio.sleep(0.5)
        now = time.monotonic()
        busy = {r.task.split(".")[0] for r in self.fleet.runs
                if r.end is None or r.end > now - IDLE_SECONDS}
        return [f"accepted job {p} is {s}, and nothing of it has run for "
                f"{IDLE_SECONDS} s, {seconds} s after the faults"
                for p, s in states.items()
                if s != "completed" and p.rsplit("/", 1)[1] not in busy]


def draw_span(draw, text):
    """Draws from "LOW-HIGH", or returns the one number."""
    low, _, high = text.partition("-")
    return draw.uniform(float(low), float(high or low))


class Faults:
    """The pattern of the recut days, leaders that stop, and waves."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.busy = set()
        self.counts = {}
        self.leader_busy = False

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    async def run(self, until):
        await asyncio.gather(self.stop_leaders(until), self.move(until),
                             *[self.recut(until, i) for i in range(2)])

    async def recut(self, until, first):
        draw, traits = self.random, self.fleet.traits
        await asyncio.sleep(draw.uniform(1, 5) + first * 3)
        while time.monotonic() < until:
            whole = draw.random() < traits["whole_zone"]
            service, zone = f"s-{draw.randrange(SERVING)}", draw.choice(ZONES)
            group = [e for e in self.fleet.endpoints
                     if e.zone == zone and e not in self.busy
                     and e.up.is_set() and (whole or e.service == service)]
            if not group:
                await asyncio.sleep(1)
                continue
            self.count("zone" if whole else "zone of a service")
            await self.restart_and_cut(group)
            await asyncio.sleep(draw.uniform(1.4, 5))

    async def restart_and_cut(self, group):
        draw, traits = self.random, self.fleet.traits
        self.busy.update(group)
        gap, cut_seconds = [draw_span(draw, traits[n])
                            for n in ("cut_after", "cut_seconds")]
        direction = "both"
        if draw.random() < traits["one_way"]:
            direction = draw.choice(["in", "out"])
        behind = draw.random() < traits["behind_cut"]
        kills = draw.random() < traits["kill"]
        await self.restart([e for e in group if not traits["unrestarted"]
                            or draw.random() >= traits["unrestarted"]],
                           traits["dark"])
        if kills:
            self.fleet.spawn(self.fault_of_leader("kill"))
        await asyncio.sleep(gap)
        for endpoint in group:
            endpoint.cut_off(direction, traits["cut_keeps"])
        self.count(f"cut {direction}")
        wait = draw.uniform(0.5, cut_seconds - 1) if behind else 0
        if behind:
            await asyncio.sleep(wait)
            self.count("restart behind a cut")
            await self.restart(group, traits["dark"])
            wait += traits["dark"]
        await asyncio.sleep(max(0, cut_seconds - wait))
        for endpoint in group:
            endpoint.heal(resets=not traits["cut_keeps"])
        self.busy.difference_update(group)

    async def restart(self, group, seconds):
        resets = self.random.random() < self.fleet.traits["reset_on_crash"]
        for endpoint in group:
            endpoint.crashed = endpoint.up.is_set()
            endpoint.crash(resets)
        await asyncio.sleep(seconds)
        for endpoint in group:
            if endpoint.crashed:
                await endpoint.begin()

    async def move(self, until):
        """Moves VMs as an operator's tool does, and draws upkeep by it."""
        draw = self.random
        while time.monotonic() < until:
            await asyncio.sleep(draw.uniform(0.5, 3))
            if draw.random() >= self.fleet.traits["moves"]:
                continue
            endpoint = draw.choice(self.fleet.endpoints)
            if endpoint in self.busy or not endpoint.up.is_set():
                continue
            self.fleet.vm_service.answer("POST", "/machine-upkeep", json.dumps(
                {"machine-id": endpoint.vm.name,
                 "wave": draw.randrange(10**6)}).encode())

    async def stop_leaders(self, until):
        await asyncio.sleep(self.random.uniform(4, 12))
        while time.monotonic() < until and self.fleet.traits["leader_stops"]:
            await self.fault_of_leader("stop")
            await asyncio.sleep(self.random.uniform(
                0.6 * STOP_INTERVAL_SECONDS, STOP_INTERVAL_SECONDS))

    async def fault_of_leader(self, kind):
        if self.leader_busy:
            return
        self.leader_busy = True
        leader = await self.fleet.leader()
        if leader:
            self.count(f"leader {kind}")
            self.fleet.log(f"leader {leader.name}: {kind}")
            number = signal.SIGTERM if kind == "stop" else signal.SIGKILL
            await asyncio.to_thread(leader.end, number)
            await asyncio.sleep(self.random.uniform(0.5, 2))
            leader.start()
        self.leader_busy = False


def least_gap_ms(runs):
    """Returns the shortest time from a lapse to the task's next start."""
    tasks, gaps = {}, []
    for run in sorted(runs, key=lambda r: r.begin):
        before = tasks.get(run.task)
        if before is not None and before.how == "lapsed":
            gaps.append(int((run.begin - before.end) * 1000))
        tasks[run.task] = run
    return min(gaps, default=None)


def lines_of(deployment, violation):
    """Returns the logs' lines of the task and endpoints of a violation."""
    job, index = re.match(r"([0-9a-f]{16})\.\d+\.(\S+):", violation).groups()
    ids = set(re.findall(r"i-[0-9a-f]{8}", violation))
    wanted = [job] + sorted(ids)
    found = []
    with open(os.path.join(deployment.folder, "record.txt")) as f:
        task = f"{job}.0.{index}"
        found += ["rig " + line.rstrip() for line in f if task in line or any(
            i in line and re.search("begins|crashes|cut off|ahead|delayed",
                                    line) for i in ids)]
    for node in deployment.of("control"):
        found += [node.name + " " + line for line in
                  node.log_text().splitlines()
                  if any(w in line for w in wanted)]
    return found


async def play(deployment, seed, seconds, traits):
    fleet = RecutFleet(seed, traits, deployment)
    try:
        await fleet.begin()
        await asyncio.sleep(3)
        for node in fleet.controls:
            node.settings["first-start"] = "false"
        callers, faults = Callers(fleet, seed), Faults(fleet, seed)
        until = time.monotonic() + seconds
        cpu = time.process_time()
        await asyncio.gather(callers.run(until), faults.run(until))
        cpu = (time.process_time() - cpu) / (time.monotonic() - until + seconds)
        fleet.log("faults end")
        open_jobs = await callers.check_completion(traits["completion"])
        for endpoint in fleet.endpoints:
            if endpoint.up.is_set():
                endpoint.incarnation.expire()
        twice = check_twice(fleet.runs, fleet.began)
        fleet.record.flush()
        for i, violation in enumerate(twice):
            with open(os.path.join(deployment.folder, f"twice-{i}.txt"),
                      "w") as f:
                f.write("\n".join([violation, *lines_of(deployment,
                                                        violation)]))
        violations = twice + open_jobs
        for name, ends in deployment.own_ends().items():
            violations.append(f"{name} ended by itself: {ends}")
        counts = {
            "jobs": f"{len(callers.accepted)} of {callers.sent}",
            "runs": len(fleet.runs),
            "done": sum(r.how == "done" for r in fleet.runs),
            "lapsed": sum(r.how == "lapsed" for r in fleet.runs),
            "least gap ms": least_gap_ms(fleet.runs),
            "lives": sum(e.incarnations for e in fleet.endpoints),
            "of a former life": sum(r.call.arrived_in != r.incarnation.name()
                                    for r in fleet.runs),
            "reset": sum(r.call.reset for r in fleet.runs),
            "held": sum(r.call.held for r in fleet.runs),
            **fleet.vm_service.counts, **faults.counts,
            "rig cores": round(cpu, 2)}
        return violations, (f"seed {seed}: {len(twice)} twice, "
                            f"{len(violations)} violations, "
                            f"{json.dumps(counts)}")
    finally:
        fleet.end()
        await asyncio.sleep(0.01)  # Lets what was cancelled end.


def soak(seed, seconds, build=None, **settings):
    """Runs one seed; returns (violations, summary line, log folder)."""
    tree = os.path.dirname(os.path.abspath(build)) if build else ROOT
    with RecutDeployment(tree, build, ENTRIES) as deployment:
        deployment.configure()
        violations, summary = asyncio.run(
            play(deployment, seed, seconds, {**draw_traits(seed), **settings}))
        return violations, summary, deployment.folder
