"""A seeded soak of a fleet of the size of a grown site.

Checks the rules CONFIG, LOST and TWICE from what operators, clients and
endpoints saw, each with what the rule exempts.
"""

import asyncio
import json
import os
import random
import resource
import time
from collections import namedtuple

from grown_configurations import Operators
from grown_fleet import (CLIENT_SECONDS, CONFIG_APPLY_SECONDS, CPU, FORMS,
                         GRACE_SECONDS, LOSS_SLACK_SECONDS, GrownDeployment,
                         GrownFaults, GrownFleet, request)
from incarnation_soak import check_twice
from platform_deployment import CALLERS_PORT, ROOT

SHORT_MS, LONG_MS = 700, 8400
LONG_SHARE = 0.35
ESTIMATED_MS = 700
FINISH_SECONDS = 14.0
VISIBLE_SECONDS = 3.0
IDLE_SECONDS = 3.0
RESTART_SECONDS = 6.0
CALM_BEFORE_SECONDS = 4.0
LASTING_TASKS = 24
TASK_CPU = 8000
ALL_KINDS = ("core", "endpoint", "entry", "term", "hup")

Job = namedtuple("Job", "path service accepted lasts tasks")


class GrownCallers:
    """Submits jobs, asks for them, and cancels the lasting ones at the end."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed * 7 + 1)
        self.jobs = {}
        self.cancelled = {}
        self.calls = []
        self.sent = self.rejected = 0
        self.violations = []

    def broken(self, text):
        self.violations.append("LOST: " + text)
        self.fleet.log("broken LOST: " + text)

    def note(self, node, answer):
        self.calls.append((node.name, answer.sent, answer.ended, answer.how))

    async def call(self, method, path, body=None):
        node = self.fleet.entries[self.random.choice(self.fleet.rotation)]
        answer = await request(node.ip, CALLERS_PORT, method, path, body)
        self.note(node, answer)
        return answer

    async def run(self, until):
        draw = self.random
        services = len(self.fleet.form.services)
        for i in range(self.fleet.form.lasting_jobs):
            self.fleet.spawn(self.submit(i % services, True))
        while time.monotonic() < until:
            self.fleet.spawn(self.submit(draw.randrange(services), False))
            await asyncio.sleep(
                draw.expovariate(self.fleet.form.jobs_a_second))

    async def submit(self, service, lasts):
        draw = self.random
        path = f"/q{service}/{draw.getrandbits(64):016x}"
        ms = LONG_MS if draw.random() < LONG_SHARE else SHORT_MS
        size = len([e for e in self.fleet.endpoints
                    if e.service == f"s-{service}"])
        step = {"count": draw.randint(3, 13), "cpu": TASK_CPU,
                "memory-request-mb": 1000, "estimated-ms": ESTIMATED_MS}
        steps = [step]
        if lasts:
            # Half of the endpoints are room enough while a zone is cut off.
            step.update({"count": min(LASTING_TASKS, size // 2),
                         "long-running": True, "anti-affinity": 1})
        elif draw.random() < 0.4:
            steps.append({**step, "after": [0]})
        spec = {"task-spec": "0" if lasts else str(ms), "steps": steps}
        self.sent += 1
        for _ in range(60 if lasts else 5):
            answer = await self.call("POST", path, spec)
            if answer.status in (429, 503) and not lasts:
                self.rejected += 1
                return
            if answer.status == 200:
                self.jobs[path] = Job(path, service, time.monotonic(), lasts,
                                      step["count"])
                break
            await asyncio.sleep(0.2)
        else:
            return
        await asyncio.sleep(draw.uniform(VISIBLE_SECONDS, 12))
        await self.ask(path)

    async def ask(self, path):
        """Returns the state of a job, or None without an answer."""
        begun = time.monotonic()
        answer = await self.call("GET", path)
        job = self.jobs[path]
        if answer.status == 410:
            if begun > job.accepted + VISIBLE_SECONDS:
                self.broken(f"{path}: 410, "
                            f"{begun - job.accepted:.1f} s after it was "
                            "accepted")
            return "410"
        if answer.status != 200:
            return None
        state = json.loads(answer.body)["state"]
        if state == "failed" or (state == "cancelled"
                                 and path not in self.cancelled):
            self.broken(f"{path} is shown as {state}")
        return state

    async def check_end(self):
        """Asks for each accepted job a while after the end of the traffic."""
        await asyncio.sleep(FINISH_SECONDS)
        limit = asyncio.Semaphore(20)

        async def ask(path):
            async with limit:
                for _ in range(5):
                    state = await self.ask(path)
                    if state is not None:
                        return path, state
                return path, None
        paths = [p for p, j in self.jobs.items() if not j.lasts]
        first = dict(await asyncio.gather(*[ask(p) for p in paths]))
        for path, state in first.items():
            if state is None:
                self.broken(f"{path}: no answer in time at the end")
        open_ = [p for p, s in first.items() if s in ("queued", "running")]
        begin = time.monotonic()
        await asyncio.sleep(IDLE_SECONDS)
        end = time.monotonic()
        second = dict(await asyncio.gather(*[ask(p) for p in open_]))
        busy = {r.task.split(".")[0] for r in self.fleet.runs
                if r.begin < end and (r.end is None or r.end > begin)}
        for path, state in second.items():
            if state in ("queued", "running") and \
                    path.rsplit("/", 1)[1] not in busy and \
                    self.has_room(self.jobs[path].service, begin, end):
                self.broken(f"{path} is {state}, nothing of it ran for "
                            f"{IDLE_SECONDS} s at the end")
        return len(open_)

    def has_room(self, service, begin, end):
        """Whether under half of a service is in use all the while."""
        runs = [r for r in self.fleet.runs
                if r.incarnation.endpoint.service == f"s-{service}"
                and r.begin < end and (r.end is None or r.end > begin)]
        size = sum(e.service == f"s-{service}" for e in self.fleet.endpoints)
        times = [begin] + [r.begin for r in runs if r.begin > begin]
        most = max(sum(r.begin <= t and (r.end is None or r.end > t)
                       for r in runs) for t in times)
        return most * TASK_CPU < size * CPU / 2

    async def cancel_lasting(self):
        for path, job in self.jobs.items():
            if job.lasts:
                self.cancelled[path] = time.monotonic()
                await self.call("DELETE", path)


def idle_spans(job, fleet, until):
    """Yields (task, begin, end) of the spans in which a task that lasts has
    not run, from 6 s after its last run."""
    name = job.path.rsplit("/", 1)[1]
    for index in range(job.tasks):
        task = f"{name}.0.0.{index}"
        at = job.accepted
        runs = sorted((r for r in fleet.runs if r.task == task),
                      key=lambda r: r.begin)
        for run in runs:
            if run.begin > at:
                yield task, at, run.begin
            at = max(at, (run.end or until) + RESTART_SECONDS)
        if at < until:
            yield task, at, until


def check_lasting(fleet, callers, until, kinds):
    """Returns the tasks that last and stood still for 3 calm seconds."""
    broken = []
    marks = sorted({e or until for _, e, k, _ in fleet.disturbances
                    if k in kinds})
    for job in callers.jobs.values():
        if not job.lasts:
            continue
        for task, begin, end in idle_spans(job, fleet, until):
            # The earliest calm window begins 4 s after a disturbance, or with
            # the span.
            for start in [begin] + [m + CALM_BEFORE_SECONDS + 0.01
                                    for m in marks]:
                if begin <= start and start + IDLE_SECONDS <= end and \
                        fleet.is_calm(start, start + IDLE_SECONDS, kinds,
                                      CALM_BEFORE_SECONDS):
                    broken.append(
                        f"LOST: {task} has not run from "
                        f"{start - fleet.began:.1f} to "
                        f"{end - fleet.began:.1f} (last run ended "
                        f"{begin - RESTART_SECONDS - fleet.began:.1f}), "
                        f"calm: {'/'.join(kinds)}")
                    break
    return broken


def check_cuts(fleet, callers, operators):
    """Returns the requests that ended without an answer by planned work, and
    the number of those beside a change of the configuration only."""
    terms = {}
    for begin, _, kind, what in fleet.disturbances:
        if kind in ("term", "hup"):
            terms.setdefault(what, []).append((begin, kind))
    broken, beside = [], 0
    for name, sent, ended, how in callers.calls:
        if how != "cut" or ended - sent < LOSS_SLACK_SECONDS:
            continue
        if not fleet.is_calm(sent, ended, ("core", "endpoint")):
            continue
        planned = any(
            b <= ended <= b + GRACE_SECONDS + 1 if k == "term"
            else sent <= b + CONFIG_APPLY_SECONDS and ended >= b
            for b, k in terms.get(name, []))
        if planned:
            broken.append(f"LOST: {name} cut a request sent at "
                          f"{sent - fleet.began:.3f} after "
                          f"{ended - sent:.3f} s, around planned work")
        elif ended - sent <= 0.7 * CLIENT_SECONDS and any(
                 v.sent <= ended and sent <= (v.acknowledged or ended)
                 + CONFIG_APPLY_SECONDS + 1
                 for v in operators.versions.values()):
            beside += 1
    return broken, beside


async def play(deployment, form, seed, seconds, late_share):
    fleet = GrownFleet(form, seed, late_share, deployment)
    callers = GrownCallers(fleet, seed)
    operators = Operators(fleet, seed, len(form.services))
    fleet.note_call = callers.note
    fleet.submit = lambda service: fleet.spawn(callers.submit(service, False))
    faults = GrownFaults(fleet, seed)
    try:
        await fleet.begin()
        fleet.spawn(fleet.follow_readiness())
        await asyncio.sleep(2)
        for node in fleet.controls:
            node.settings["first-start"] = "false"
        await operators.send(operators.first(), time.monotonic() + 20)
        assert operators.floor(time.monotonic()), "no first configuration"
        await asyncio.sleep(CONFIG_APPLY_SECONDS)
        until = time.monotonic() + seconds
        cpu = time.process_time()
        await asyncio.gather(
            callers.run(until), faults.run(until), operators.operate(until),
            operators.operate(until), operators.read_members(until + 5),
            operators.ask_entries(until + 5))
        rig_cpu = (time.process_time() - cpu) / (time.monotonic() - until
                                                 + seconds)
        fleet.late_share = 0
        fleet.log("faults and traffic end")
        await operators.read_back()
        still_open = await callers.check_end()
        end = time.monotonic()
        await callers.cancel_lasting()
        for endpoint in fleet.endpoints:
            endpoint.incarnation.expire()
        twice = ["TWICE: " + v for v in check_twice(fleet.runs, fleet.began)]
        lasting = check_lasting(fleet, callers, end, ALL_KINDS)
        core_calm = check_lasting(fleet, callers, end, ("core",))
        cuts, beside = check_cuts(fleet, callers, operators)
        violations = (operators.violations + callers.violations + lasting
                      + cuts + twice)
        for name, ends in deployment.own_ends().items():
            violations.append(f"FAULT: {name} ended by itself: {ends}")
        counts = {
            "jobs": f"{len(callers.jobs)} of {callers.sent}",
            "rejected": callers.rejected, "runs": len(fleet.runs),
            "open at the end": still_open,
            "versions": len(operators.versions), **operators.counts,
            **faults.counts,
            "late": sum(r.call.late for r in fleet.runs),
            "of a former life": sum(r.call.sent < r.incarnation.began
                                    for r in fleet.runs),
            "held": sum(r.call.held for r in fleet.runs),
            "cut calls": sum(c[3] == "cut" for c in callers.calls),
            "cut beside a configuration": beside,
            "idle lasting tasks, core calm": len(core_calm),
            "rig cores": round(rig_cpu, 2)}
        for line in core_calm:
            fleet.log("core calm only: " + line)
        return violations, f"seed {seed}: {json.dumps(counts)}"
    finally:
        fleet.end()
        await asyncio.sleep(0.01)  # Lets what was cancelled end.


def soak(form, seed, seconds, late_share=0.0, build=None):
    """Runs one seed; returns (violations, summary line, log folder)."""
    tree = os.path.dirname(os.path.abspath(build)) if build else ROOT
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    with GrownDeployment(FORMS[form], tree, build) as deployment:
        violations, summary = asyncio.run(
            play(deployment, FORMS[form], seed, seconds, late_share))
    spent = resource.getrusage(resource.RUSAGE_CHILDREN)
    cpu = (spent.ru_utime + spent.ru_stime - before.ru_utime
           - before.ru_stime)
    return violations, f"{summary}, processes {cpu:.0f} s", deployment.folder
