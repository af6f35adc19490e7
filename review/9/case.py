"""Steps of a queue with a policy, in a service that has grown."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

from stand_ins import BOUNDS, ZONES, job, now_ms, run_case

WORKERS = 96
# scale_out: 24 empty workers are added, a share of 0.25.
ADDED = 24
JOBS = 80
# Of the workers that are there when a step is first asked about, the policy
# allows two, drawn by lot for each step. That doesn't change.
ALLOWED = 2
TRAFFIC_S = 14.0


async def case(fleet, trouble):
    allowed = {}

    def eligible(step):
        if step not in allowed:
            present = sorted(w.id for w in fleet.workers.values() if w.up)
            allowed[step] = random.Random("advice " + step).sample(present, ALLOWED)
            fleet.record.add("the policy allows", step, "on", allowed[step])
        return allowed[step]

    fleet.eligible = eligible

    async def add(first, count):
        for i in range(first, first + count):
            await fleet.add_machine(f"m-{i:03d}", "desk", ZONES[i % 3],
                                    ["a", f"r{i % 3}-{i // 20}"],
                                    lambda task: 1000)

    await add(0, WORKERS)
    advice = {"decision-ms": 5, "per-worker-ms": 0, "validity-ms": 5000}
    status, _ = await fleet.operator("PUT", "/config", fleet.configuration(
        1, [("/policy/", "desk", {"advice": advice})], ["desk"]))
    if status != 200 or not await fleet.wait_ready(WORKERS):
        return None
    if trouble:
        await add(WORKERS, ADDED)
        fleet.record.add(ADDED, "empty workers are added")
        if not await fleet.wait_ready(WORKERS + ADDED):
            return None
    await asyncio.sleep(3)
    accepted = {}
    began = now_ms()
    for n in range(JOBS):
        ident = f"{n + 1:016x}"
        at = await fleet.submit(f"/policy/{ident}", job(
            {"count": 1, "cpu": 3500, "memory-request-mb": 512,
             "estimated-ms": 1000}))
        if at is not None:
            accepted[ident] = at
        await asyncio.sleep(max(
            0, (began - now_ms()) / 1000 + TRAFFIC_S * (n + 1) / JOBS))
    fleet.record.add("end of the traffic;", len(accepted), "jobs accepted")
    # LOST: finish_s after the end of the traffic, for 3 s, a job has nothing
    # running while a task's turn has come, with capacity for it twice over and
    # under half of the service's capacity in use. The tenant has no limit.
    await asyncio.sleep(BOUNDS["finish_s"])
    idle = set(accepted)
    for _ in range(16):
        for worker in fleet.workers.values():
            idle -= {task[:16] for task in worker.runs}
        idle -= {task[:16] for task in fleet.done}
        await asyncio.sleep(0.2)
    for ident in sorted(idle):
        status, answer = await fleet.client("GET", f"/policy/{ident}")
        fleet.record.add("nothing of", ident, "runs; its state is", answer,
                         "; the policy allows it on",
                         allowed.get(f"{ident}.0.0"), ", which run",
                         [len(fleet.workers[w].runs)
                          for w in allowed.get(f"{ident}.0.0", [])], "tasks")
    print(f"{len(idle)} of {len(accepted)} accepted jobs have nothing running")
    return bool(accepted) and not idle


run_case(FOLDER, case, [" leading, ", "no placement advice"])
