"""A seeded soak test of endpoints that start again under their old ids.

Checks the rule on two runs of a task (TWICE) from what the endpoints saw, and
that each accepted job completes after the faults.
"""

import asyncio
import json
import os
import random
import signal
import time

from incarnation_fleet import IncarnationFleet, RealProcesses
from platform_deployment import ROOT

COMPLETION_SECONDS = 40
SHORT_MS, LONG_MS = (50, 300), (5000, 20000)
CUT_SECONDS = (3, 9)
DELAYED_SHARE = 0.01


class Callers:
    """Submits jobs at a constant rate and cancels a few of them."""

    def __init__(self, fleet, seed, jobs_a_second, long_ms):
        self.fleet = fleet
        self.random = random.Random(seed * 7 + 1)
        self.jobs_a_second, self.long_ms = jobs_a_second, long_ms
        self.accepted, self.cancelled = set(), set()
        self.sent = 0

    def job(self):
        draw = self.random
        long_task = draw.random() < 0.25
        low, high = self.long_ms if long_task else SHORT_MS
        ms = draw.randint(low, high)
        count = draw.randint(2, 6) if long_task else draw.randint(5, 35)
        step = {"count": count, "cpu": 100, "memory-request-mb": 10,
                "estimated-ms": ms}
        steps = [step]
        if draw.random() < 0.2 and not long_task:
            steps.append({**step, "after": [0]})
        return {"task-spec": str(ms), "steps": steps}

    async def run(self, until):
        while time.monotonic() < until:
            name = f"{self.random.getrandbits(64):016x}"
            self.fleet.spawn(self.submit(name, self.job(),
                                         self.random.randrange(2),
                                         self.random.random() < 0.02))
            await asyncio.sleep(
                self.random.expovariate(self.jobs_a_second))

    async def submit(self, name, spec, entry, cancels):
        self.sent += 1
        for attempt in range(4):
            status, _ = await self.fleet.job_call(
                "POST", name, spec, (entry + attempt) % 2)
            if status in (429, 503):
                self.fleet.log(f"job {name} rejected: {status}")
                return
            if status == 200:
                self.accepted.add(name)
                break
            await asyncio.sleep(0.1)
        if cancels:
            await asyncio.sleep(0.5)
            self.cancelled.add(name)
            await self.fleet.job_call("DELETE", name, entry=entry)

    async def check_completion(self, seconds):
        """Returns a violation for each accepted job that doesn't complete."""
        until = time.monotonic() + seconds
        states = {j: "unknown" for j in self.accepted - self.cancelled}
        limit = asyncio.Semaphore(20)

        async def ask(job):
            async with limit:
                status, body = await self.fleet.job_call("GET", job)
                states[job] = (json.loads(body)["state"] if status == 200
                               else f"status {status}")
        while time.monotonic() < until:
            left = [j for j, s in states.items() if s != "completed"]
            if not left:
                break
            await asyncio.gather(*[ask(j) for j in left])
            await asyncio.sleep(0.3)
        return [f"accepted job {j} is {s}, not completed, {seconds} s after "
                "the faults" for j, s in states.items() if s != "completed"]


class Faults:
    """Draws overlapping faults of endpoints and leaders from a seed."""

    def __init__(self, fleet, seed, cut_seconds):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.cut_seconds = cut_seconds
        self.restarting = set()
        self.leader_fault_until = 0
        self.counts = {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    async def run(self, until):
        draw = self.random
        pending = []
        while time.monotonic() < until:
            await asyncio.sleep(draw.uniform(0.3, 1.6))
            some = draw.choice([1, 1, 2, 3])
            chosen = draw.sample(self.fleet.endpoints, some)
            if draw.random() < 0.6 and self.fleet.runs:
                # The leader fills one endpoint before it begins with another,
                # so most of the next starts go where the last one went.
                chosen[0] = self.fleet.runs[-1].incarnation.endpoint
            leader_fault = draw.random() < 0.45
            gap = draw.choice([draw.uniform(0, 0.3), draw.uniform(0, 0.3),
                               draw.uniform(0.3, 1.5)])
            if leader_fault:
                kind = draw.choice(["stop", "kill", "pause"])
                times = draw.uniform(0.3, 1.5), draw.uniform(0.5, 4)
                pending.append(asyncio.ensure_future(
                    self.fault_of_leader(kind, *times)))
                await asyncio.sleep(gap)
            for endpoint in chosen:
                plan = self.plan()
                if endpoint not in self.restarting:
                    self.restarting.add(endpoint)
                    pending.append(asyncio.ensure_future(
                        self.restart(endpoint, plan)))
        await asyncio.gather(*pending)

    def plan(self):
        draw = self.random
        return {
            "twice": draw.random() < 0.4,
            "resets": [draw.random() < 0.6 for _ in range(2)],
            "away": [draw.choice([draw.uniform(0.002, 0.05),
                                  draw.uniform(0.05, 1)]) for _ in range(2)],
            "between": draw.choice([draw.uniform(0.1, 0.5),
                                    draw.uniform(0.1, 1.2)]),
            "cut": draw.choice([None, "both", "both", "in", "out"]),
            "cut_after": draw.choice([draw.uniform(0.03, 0.4),
                                      draw.uniform(0.3, 3)]),
            "cut_for": draw.uniform(*self.cut_seconds),
        }

    async def restart(self, endpoint, plan):
        for i in range(2 if plan["twice"] else 1):
            if i:
                await asyncio.sleep(plan["between"])
            self.count("restart")
            endpoint.crash(plan["resets"][i])
            await asyncio.sleep(plan["away"][i])
            await endpoint.begin()
        if plan["cut"]:
            self.count(f"cut {plan['cut']}")
            await asyncio.sleep(plan["cut_after"])
            endpoint.cut_off(plan["cut"])
            await asyncio.sleep(plan["cut_for"])
            endpoint.heal()
        self.restarting.discard(endpoint)

    async def fault_of_leader(self, kind, down_seconds, pause_seconds):
        # One member at a time, so that the group keeps its majority.
        if time.monotonic() < self.leader_fault_until:
            return
        self.leader_fault_until = time.monotonic() + 60
        leader = await self.fleet.leader()
        if leader:
            self.count(f"leader {kind}")
            self.fleet.log(f"leader {leader.name}: {kind}")
            if kind == "pause":
                leader.popen.send_signal(signal.SIGSTOP)
                await asyncio.sleep(pause_seconds)
                leader.popen.send_signal(signal.SIGCONT)
            else:
                number = signal.SIGTERM if kind == "stop" else signal.SIGKILL
                await asyncio.to_thread(leader.end, number)
                await asyncio.sleep(down_seconds)
                leader.start()
            self.fleet.log(f"leader {leader.name}: {kind} is over")
        self.leader_fault_until = time.monotonic() + 3


def check_twice(runs, began):
    """Returns the violations of the rule on two runs of one task (TWICE).

    Two runs at the same time on endpoints that are up, or a start after an end
    as done that was noted at any time, unless the lease of its endpoint lapsed
    between the end and the note.
    """
    tasks = {}
    for run in runs:
        tasks.setdefault(run.task, []).append(run)
    violations = []
    for task, all_runs in tasks.items():
        all_runs.sort(key=lambda r: r.begin)
        for i, first in enumerate(all_runs):
            for second in all_runs[i + 1:]:
                done = (first.how == "done" and first.noted is not None and
                        second.begin >= first.end)
                if first.end is None or second.begin < first.end:
                    what = "two runs at the same time"
                elif done:
                    what = "a start after a noted end"
                else:
                    continue
                violations.append(
                    f"{task}: {what}\n    {first.text(began)}\n"
                    f"    {second.text(began)}")
    return violations


async def play(deployment, seed, seconds, late_share, jobs_a_second, long_ms,
               cut_seconds):
    fleet = IncarnationFleet(seed, late_share, DELAYED_SHARE, deployment)
    try:
        await fleet.begin()
        await asyncio.sleep(2)
        for node in fleet.controls:
            node.settings["first-start"] = "false"
        callers = Callers(fleet, seed, jobs_a_second, long_ms)
        faults = Faults(fleet, seed, cut_seconds)
        until = time.monotonic() + seconds
        await asyncio.gather(callers.run(until), faults.run(until))
        fleet.late_share = fleet.delayed_share = 0
        fleet.log("faults end")
        open_jobs = await callers.check_completion(COMPLETION_SECONDS)
        for endpoint in fleet.endpoints:
            endpoint.incarnation.expire()
        violations = check_twice(fleet.runs, fleet.began) + open_jobs
        for name, ends in deployment.own_ends().items():
            violations.append(f"{name} ended by itself: {ends}")
        incarnations = sum(e.incarnations for e in fleet.endpoints)
        late = sum(r.call.late for r in fleet.runs)
        summary = (f"seed {seed}: {len(callers.accepted)} of {callers.sent} "
                   f"jobs accepted, {len(fleet.runs)} runs ({late} late), "
                   f"{incarnations} incarnations, "
                   f"{json.dumps(faults.counts, sort_keys=True)}, "
                   f"{len(violations)} violations")
        return violations, summary
    finally:
        fleet.end()


def soak(seed, seconds, late_share=0.0, build=None, jobs_a_second=12,
         long_ms=LONG_MS, cut_seconds=CUT_SECONDS):
    """Runs one seed; returns (violations, summary line, log folder)."""
    tree = os.path.dirname(os.path.abspath(build)) if build else ROOT
    with RealProcesses(tree=tree, target=build) as deployment:
        deployment.configure()
        violations, summary = asyncio.run(
            play(deployment, seed, seconds, late_share, jobs_a_second, long_ms,
                 cut_seconds))
        return violations, summary, deployment.folder
