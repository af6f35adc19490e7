"""Short jobs beside a lasting job that can never be done."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

from stand_ins import BOUNDS, ZONES, job, now_ms, run_case

WORKERS = 9
CAPACITY_MB = 262144
SHORT_JOBS = 40
TRAFFIC_S = 10.0
# One of 41 messages of the traffic can never be done: 2.4 %.
HOPELESS = "00000000000000ff"


def duration_ms(task):
    return None if task.startswith(HOPELESS) else 1000


async def state_of(fleet, ident):
    status, answer = await fleet.client("GET", f"/short/{ident}")
    return answer.get("state") if status == 200 and answer else status


async def case(fleet, trouble):
    for i in range(WORKERS):
        await fleet.add_machine(f"m-{i}", "desk", ZONES[i % 3],
                                ["a", f"r{i % 3}-{i // 4}"], duration_ms)
    status, _ = await fleet.operator("PUT", "/config", fleet.configuration(
        1, [("/short/", "desk", {}), ("/lasting/", "desk", {})], ["desk"]))
    if status != 200 or not await fleet.wait_ready(WORKERS):
        return None
    lasting = {"count": 1, "cpu": 1000, "estimated-ms": 900,
               "long-running": True,
               "memory-request-mb": 2 * CAPACITY_MB if trouble else 1024}
    # The first half of the traffic is served before the job that can never be
    # done arrives.
    accepted = {}
    began = now_ms()
    for n in range(SHORT_JOBS):
        if n == SHORT_JOBS // 2:
            await fleet.submit(f"/lasting/{HOPELESS}", job(lasting))
        ident = f"{n + 1:016x}"
        at = await fleet.submit(f"/short/{ident}", job(
            {"count": 2, "cpu": 3500, "memory-request-mb": 512,
             "estimated-ms": 1000}))
        if at is not None:
            accepted[ident] = at
        await asyncio.sleep(max(
            0, (began - now_ms()) / 1000 + TRAFFIC_S * (n + 1) / SHORT_JOBS))
    fleet.record.add("end of the traffic;", len(accepted), "jobs accepted")
    # LOST: finish_s after the end of the traffic, for 3 s, a job has nothing
    # running while a task's turn has come, with capacity for it twice over and
    # under half of the service's capacity in use. The tenant has no limit.
    await asyncio.sleep(BOUNDS["finish_s"])
    idle = set(accepted)
    used = 0
    for _ in range(16):
        for worker in fleet.workers.values():
            idle -= {task[:16] for task in worker.runs}
        used = max(used, sum(len(w.runs) for w in fleet.workers.values()))
        idle -= {i for i in idle
                 if all(f"{i}.0.0.{k}" in fleet.done for k in range(2))}
        await asyncio.sleep(0.2)
    fleet.record.add("for 3 s with nothing running:", len(idle), "jobs of",
                     len(accepted), "; most tasks at work at once:", used,
                     "; tasks of 3.5 cores that fit on the workers:",
                     WORKERS * 18)
    for ident in sorted(idle)[:3]:
        fleet.record.add("state of", ident, "is", await state_of(fleet, ident))
    print(f"{len(idle)} of {len(accepted)} accepted jobs have nothing running")
    return bool(accepted) and not idle


run_case(FOLDER, case, ["00000000000000ff", " leading, "])
