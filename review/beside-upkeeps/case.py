"""In a wave, the VM service can't take orders for a while, and a worker whose
machine is next crashes and starts again meanwhile."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from deployment import (CannotRun, Deployment, TROUBLE, Worker, stand_alone)

MACHINES = 8
OF_THE_WAVE = 4
UPPER_LIMIT = 1
MAINTENANCE_S = 2
UNAVAILABLE_S = 5
CRASH_S = 1


class Machines:
    """The platform's service of machines, as PROTOCOL.md describes it."""

    def __init__(self, d):
        self.d = d
        self.unavailable_until = 0
        self.down = set()
        self.kept = set()
        self.broken = []
        self.refused = None  # the machine of the last order not taken

    def answer(self, method, path, headers, body):
        if time.monotonic() < self.unavailable_until:
            self.d.record(f"VM service: {method} {path} {body!r}: 503")
            if path == "/machine-upkeep":
                self.refused = json.loads(body)["machine-id"]
            return 503, {}
        if method == "GET":
            return 200, {"machines": [
                {"machine-id": w.machine, "pool": w.service,
                 "state": "upkeep" if w.machine in self.down else
                          "down" if w.down else "up",
                 "zone": "zone-a", "labels": ["a", "r1-1"],
                 "capacity": w.capacity(), "id": w.id}
                for w in self.d.workers], "next-page-token": ""}
        order = json.loads(body)
        if path != "/machine-upkeep":
            return 400, {}
        status, reason = self.upkeep(order["machine-id"])
        self.d.record(f"VM service: {method} {path} {body!r}: {status}")
        return status, reason

    def upkeep(self, machine):
        worker = next(w for w in self.d.workers if w.machine == machine)
        if machine in self.kept:
            return 200, {}
        if worker.down:
            return 409, {"reason": "busy"}
        if len(self.down) >= UPPER_LIMIT:
            self.broken.append(machine)
            self.d.record(f"LIMIT: the upkeep of {machine} begins while "
                          f"{sorted(self.down)} of its wave are down for "
                          f"theirs; at most {UPPER_LIMIT} may be")
        self.d.record(f"upkeep of {machine} begins")
        self.down.add(machine)
        self.kept.add(machine)
        worker.crash()
        self.d.loop.call_later(MAINTENANCE_S, self.back, worker)
        return 200, {}

    def back(self, worker):
        self.down.discard(worker.machine)
        self.d.record(f"upkeep of {worker.machine} is over")
        worker.new_life()


def case(folder):
    workers = [Worker(f"w{i}", "s-one", 64000, lambda task: 1000)
               for i in range(MACHINES)]
    for i, w in enumerate(workers):
        w.machine = f"m-{i}"
    d = Deployment(folder, 81, workers)
    machines = Machines(d)
    d.answer_vm_service = machines.answer
    try:
        d.start()
        d.configure([d.route("r-one", "/one/", "s-one")])
        d.wait_workers()
        time.sleep(4)
        d.control_call("POST", "/wave-start", {
            "wave": 1, "machines": [w.machine for w in workers[:OF_THE_WAVE]],
            "duration-s": 20, "upper-limit": UPPER_LIMIT})
        end = time.monotonic() + 10
        while not machines.kept:
            if time.monotonic() > end:
                raise CannotRun("no upkeep began")
            time.sleep(0.01)
        if TROUBLE:
            machines.unavailable_until = time.monotonic() + UNAVAILABLE_S
            d.record(f"VM service unavailable for {UNAVAILABLE_S} s")
            # Long enough for the next machine to be ordered.
            time.sleep(3)
            worker = next((w for w in workers
                           if w.machine == machines.refused), None)
            if not worker:
                raise CannotRun("no order met the unavailable VM service")
            d.loop.call_soon_threadsafe(worker.crash)
            time.sleep(CRASH_S)
            d.loop.call_soon_threadsafe(worker.new_life)
        end = time.monotonic() + 40
        while time.monotonic() < end:
            _, answer = d.control_call("GET", "/wave-get/1")
            if answer and answer.get("state") == "completed":
                break
            time.sleep(0.5)
        else:
            d.record("the wave is not completed")
        time.sleep(MAINTENANCE_S + 1)
        d.record("LIMIT: " + ("broken" if machines.broken else "held"))
        return not machines.broken
    finally:
        d.stop()


stand_alone(case)
