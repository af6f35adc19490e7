"""Zones of endpoints that restart and are cut off, on VMs that move.

The endpoints are those of incarnation_fleet.py. Beside them, a VM service
lists, moves and maintains their VMs, and calls that reached an endpoint are
carried out even if their sender has reset the connection since.
"""

import asyncio
import json
import math
import random
import time

from fleet import free_port
from incarnation_fleet import (Call, Connection, Endpoint, Incarnation,
                               IncarnationFleet, RealProcesses, Run, http_call)
from platform_deployment import HOST, KEY, OPERATORS_PORT, ZONES

# The services of a site, the last one with spare VMs.
SIZES = (9, 9, 11, 12, 8)
SERVING = len(SIZES) - 1
SPARE = f"s-{SERVING}"
RACK = 4
CPU, MEMORY_MB = 64000, 131072
MOVE_SECONDS, UPKEEP_SECONDS = 1.5, 2.0
STOP_SECONDS = 0.9
HEARTBEAT_SECONDS = 1.5
TICK_SECONDS = 0.02
CHECKPOINT_MS = 2000
RESTORE_MS = 100
STARTUP_SECONDS = 0.3
DELAY_SECONDS = (0.001, 0.005)


def draw_traits(seed):
    """Draws what all endpoints of a play have in common."""
    draw = random.Random(seed * 31 + 5)
    return {
        # Calls arrive although their sender has reset the connection.
        "resets_arrive": True,
        # As if the endpoint's host held back what arrives, not the network:
        # calls on connections that were opened or reset in a cut arrive too.
        "cut_at_host": draw.random() < 0.5,
        "cut_keeps": draw.random() < 0.8,
        "high_water": draw.random() < 0.5,
        "stopping_listed": draw.random() < 0.5,
        "clock": draw.choice(["zero", "random", "goes on", "mixed"]),
        "slow_clocks": draw.random() < 0.5,
        "moves_keep_ids": draw.choice([0, 0.5, 1]),
        # VMs of the spare pool are switched off.
        "spare_off": True,
        "moves_reset": draw.random() < 0.5,
        "vm_answers_lost": draw.choice([0, 0.1, 0.3]),
        "late_share": 0.0,
        "long_share": 0.35,
        "checkpoints": draw.choice([0, 0.5]),
        "one_way": draw.choice([0, 0, 0.3]),
        "behind_cut": draw.choice([0, 0, 0.3]),
        "cut_after": draw.choice(["2", "0-2.2", "0-0.5"]),
        "dark": draw.choice([0.6, 0.6, 1.5]),
        "cut_seconds": draw.choice(["9", "9", "3-9"]),
        "leader_stops": True,
        # Tasks of a step, None for those of the site.
        "tasks": draw.choice([None, None, 2]),
        "load": draw.choice([0.4, 0.7, 1]),
        "completion": 30,
        "kill": draw.choice([0, 0, 0.5]),
        "moves": draw.choice([0, 0.3]),
        "delayed_heartbeats": draw.random() < 0.5,
        "whole_zone": draw.choice([0, 0.3, 1]),
        "reset_on_crash": draw.choice([0, 0, 0.3]),
        # The longest that an endpoint takes to end a run whose lease expired.
        "lapse_seconds": draw.choice([0, STOP_SECONDS]),
        # Of the endpoints that are cut off, those that don't restart before.
        "unrestarted": draw.choice([0, 0.3]),
    }


class RecutRun(Run):
    """A run and the story of the order that began it."""

    saved_ms = 0
    begins_with_ms = 0
    stopped = None
    # When it ends because its lease has expired.
    lapses = None

    def text(self, began):
        call = self.call
        return (super().text(began) + f"; order arrived "
                f"{call.sent - began:.3f} in life {call.arrived_in}"
                f"{' on a reset connection' if call.reset else ''}, "
                f"carried out {(self.begin - call.sent) * 1000:.0f} ms later, "
                f"life born {self.incarnation.born}, stop "
                f"{'-' if self.stopped is None else f'{self.stopped - began:.3f}'}")


class RecutIncarnation(Incarnation):
    """A life that checkpoints, stops slowly and may keep a high-water mark."""

    def __init__(self, endpoint, number, clock_base, clock_rate):
        super().__init__(endpoint, number, clock_base, clock_rate)
        self.traits = endpoint.fleet.traits
        self.id, self.service = endpoint.id, endpoint.service
        self.mark = 0

    def name(self):
        return f"{self.id}/{self.number}"

    def start(self, call):
        order = call.order
        text = order["task-spec"]
        before = self.runs.get(order["task"])
        plain = text.rstrip("c")
        spec = dict(order, **{"task-spec": plain})
        call.order = spec
        status, answer = super().start(call)
        run = self.runs.get(order["task"])
        if run is not None and run is not before:
            run.__class__ = RecutRun
            run.checkpoints = text.endswith("c")
            if order.get("checkpoint"):
                done_ms = int(order["checkpoint"][:8], 16)
                run.begins_with_ms = run.saved_ms = done_ms
                if run.due < math.inf:
                    run.due -= (done_ms - RESTORE_MS) / 1000
        return status, answer

    def stop(self, order):
        task, number = order["task"], order["run"]
        there = self.runs.get(task)
        self.log(f"/run-stop {task} run {number}"
                 f"{'' if there else ': not there'}")
        seconds = STOP_SECONDS * self.endpoint.random.uniform(0.1, 1)
        stopped_at = time.monotonic() + seconds
        if there and there.run <= number and there.stopped is None:
            there.stopped = time.monotonic()
            if there.due > stopped_at:
                there.due, there.how_due = stopped_at, "stopped"
        self.highest[task] = max(self.highest.get(task, 0), number)
        return self.answer(200)

    def saved(self, run):
        if not run.checkpoints:
            return ""
        now = min(time.monotonic(), run.end or math.inf)
        worked = run.begins_with_ms + (now - run.begin) * 1000
        whole = int(worked) if run.how == "stopped" else (
            int(worked) // CHECKPOINT_MS * CHECKPOINT_MS)
        run.saved_ms = max(run.saved_ms, whole)
        return f"{run.saved_ms:08x}{run.task[:8]}" if run.saved_ms else ""

    def expire(self):
        """Ends what is due; what a lease ends goes on for a while."""
        now, longest = time.monotonic(), self.traits["lapse_seconds"]
        if self.lease <= now:
            for run in self.runs.values():
                if run.lapses is None:
                    run.lapses = max(self.lease, run.begin) + \
                        longest * self.endpoint.random.uniform(0.1, 1)
        for run in sorted(self.runs.values(), key=lambda r: r.due):
            lapses = math.inf if run.lapses is None else run.lapses
            if run.due <= min(now, lapses):
                self.end(run, run.due, run.how_due)
            elif lapses <= now:
                self.end(run, lapses, "lapsed")
        if self.lease <= now:
            for run in self.ends:
                run.lapsed = True

    def end(self, run, at, how):
        super().end(run, at, how)
        self.log(f"ends {run.task} run {run.run} {how} number {run.number}")
        if self.traits["high_water"] and run.number <= self.mark:
            if how != "lapsed":
                run.noted = time.monotonic()
            self.ends.remove(run)

    def hold(self, order):
        if order["last-seen"] > self.last_end:
            self.log(f"/hold last-seen {order['last-seen']} is ahead of "
                     f"{self.last_end}, token {order.get('fencing-token')}")
        self.mark = max(self.mark, order["last-seen"])
        return super().hold(order)

    def lists(self):
        status, answer = super().lists()
        now = time.monotonic()
        hides = not self.traits["stopping_listed"]
        answer["running"] = [
            [r.task, r.run, self.saved(r),
             100 if now - r.begin > STARTUP_SECONDS else 0, 10]
            for r in self.runs.values() if not (hides and (r.stopped or r.lapses))]
        listed = {r.number: r for r in self.ends}
        answer["ended"] = [[n, t, run, how, self.saved(listed[n])]
                           for n, t, run, how, _ in answer["ended"]]
        return status, answer


class RecutConnection(Connection):
    """A connection whose calls are carried out even after its reset."""

    def connection_made(self, transport):
        self.made_in_cut = self.endpoint.cut in ("in", "both")
        self.was_reset = False
        # The socket ended with the life that had it.
        self.ended = False
        super().connection_made(transport)

    def connection_lost(self, error):
        super().connection_lost(error)
        self.was_reset = error is not None
        fleet = self.endpoint.fleet
        arrives = fleet.traits["cut_at_host"] and fleet.traits["resets_arrive"]
        if self.held_in and error is not None and arrives:
            self.endpoint.closed_in_cut.append(self)
        if self.held_in and self.made_in_cut and \
                not fleet.traits["cut_at_host"]:
            # Its first packet was lost, and it was given up before the heal.
            self.held_in = []

    def data_received(self, data):
        before = self.calls.qsize()
        super().data_received(data)
        if self.calls.qsize() > before:
            life = self.endpoint.incarnation
            for call in list(self.calls._queue)[before:]:
                if isinstance(call, Call):
                    call.arrived_in = life.name() + (
                        "" if self.endpoint.up.is_set() else " (ended)")
                    call.reset = False

    async def serve(self):
        while True:
            call = await self.calls.get()
            if call is None:
                return
            await self.endpoint.handle(call, self)


class Vm:
    """A VM of the platform: its pool and what it is doing."""

    def __init__(self, name, pool, zone, endpoint):
        self.name, self.pool, self.zone = name, pool, zone
        self.endpoint = endpoint
        self.state = "up"
        self.waves = set()

    def row(self):
        return {"machine-id": self.name, "pool": self.pool,
                "state": self.state, "zone": self.zone,
                "labels": ["a", f"r1-{self.endpoint.rack}"],
                "capacity": {"cpu": CPU, "memory-request-mb": MEMORY_MB,
                             "gpu": 0},
                "id": (self.endpoint.id if self.state == "up"
                       and self.endpoint.up.is_set() else "")}


class RecutEndpoint(Endpoint):
    """An endpoint on a VM; after a move it joins another pool."""

    def __init__(self, fleet, number, ip, seed, service, zone, rack):
        super().__init__(fleet, number, ip, seed, service, zone, rack, CPU)
        self.vm = Vm(f"m-{number:04x}", service, zone, self)
        self.id = f"i-{self.random.getrandbits(32):08x}"
        self.ids = {service: self.id}
        self.clock_mode = fleet.traits["clock"]
        if self.clock_mode == "mixed":
            self.clock_mode = self.random.choice(["zero", "random", "goes on"])
        self.clock_offset = self.random.randrange(3_000_000)

    async def listen(self):
        if self.server is None:
            from incarnation_fleet import ENDPOINT_PORT
            self.server = await asyncio.get_running_loop().create_server(
                lambda: RecutConnection(self), self.ip, ENDPOINT_PORT,
                backlog=1000)

    async def begin(self):
        draw = self.random
        passed = int((time.monotonic() - self.fleet.began) * 1000)
        base = {"zero": 0, "random": draw.randrange(3_000_000),
                "goes on": self.clock_offset + passed}[self.clock_mode]
        rate = 1
        if self.fleet.traits["slow_clocks"]:
            rate = draw.choice([1, 0.98, draw.uniform(0.98, 1)])
        self.incarnations += 1
        self.incarnation = RecutIncarnation(self, self.incarnations, base, rate)
        await self.listen()
        self.log(f"{self.incarnation.name()} begins on {self.vm.name} "
                 f"{self.zone} for {self.service}, clock {base}, born "
                 f"{self.incarnation.born}")
        self.up.set()
        first = 0.05 if self.incarnations == 1 else draw.choice(
            [draw.uniform(0, 0.1), draw.uniform(0, HEARTBEAT_SECONDS)])
        self.spawn(self.send_heartbeats(self.incarnation, first))

    async def handle(self, call, connection):
        draw, traits = self.random, self.fleet.traits
        await self.up.wait()
        await asyncio.sleep(draw.uniform(*DELAY_SECONDS))
        await self.up.wait()
        call.reset = connection.was_reset
        if connection.ended:
            return
        if connection.closed and not (traits["resets_arrive"]
                                      or not call.reset):
            return
        if call.headers.get("expected-instance", self.id) != self.id:
            connection.reply(call, 421, {})
            return
        at_work = self.incarnation
        if call.arrived_in != at_work.name():
            self.log(f"{at_work.name()} carries out {call.path} "
                     f"{call.order.get('task', '')} for {call.arrived_in}"
                     f"{', reset' if call.reset else ''}, "
                     f"{time.monotonic() - call.sent:.3f} s old")
        answer = at_work.carry_out(call)
        if answer is None:
            answer = await self.held(call, connection, at_work)
            if answer is None:
                return
        await asyncio.sleep(draw.uniform(*DELAY_SECONDS))
        if self.incarnation is at_work and self.up.is_set():
            connection.reply(call, *answer)

    def reset(self):
        for connection in self.connections:
            connection.ended = True
        super().reset()

    def facts(self, incarnation):
        facts = super().facts(incarnation)
        facts.update({"machine-id": self.vm.name, "service":
                      incarnation.service})
        facts["capacity"]["memory-request-mb"] = MEMORY_MB
        return facts

    async def send_heartbeats(self, incarnation, seconds):
        ips = self.fleet.control_ips
        member = self.random.randrange(len(ips))
        address = None
        await asyncio.sleep(seconds)
        while self.incarnation is incarnation and self.up.is_set():
            body = self.facts(incarnation)
            if self.cut in ("out", "both"):
                if self.fleet.traits["delayed_heartbeats"] and \
                        self.random.random() < 0.3:
                    self.spawn(self.send_after_cut(incarnation, body))
            else:
                for _ in range(len(ips)):
                    ip, port = address or (ips[member], OPERATORS_PORT)
                    await asyncio.sleep(self.random.uniform(*DELAY_SECONDS))
                    status, content = await http_call(
                        ip, int(port), "PUT", f"/instances/{incarnation.id}",
                        body)
                    if 200 <= status < 300 and self.cut != "in":
                        address = self.heartbeat_address(content)
                        break
                    address, member = None, (member + 1) % len(ips)
                    if self.incarnation is not incarnation:
                        return
            await asyncio.sleep(HEARTBEAT_SECONDS * self.random.uniform(.9, 1))

    async def send_after_cut(self, incarnation, body):
        """Delivers a heartbeat that a cut has held up."""
        while self.cut:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.random.uniform(0, 0.3))
        if self.incarnation is not incarnation:
            self.log(f"delayed heartbeat of {incarnation.name()}")
        await http_call(self.random.choice(self.fleet.control_ips),
                        OPERATORS_PORT, "PUT", f"/instances/{incarnation.id}",
                        body)

    def join(self, service):
        """Names the next life, which joins a pool."""
        keeps = self.random.random() < self.fleet.traits["moves_keep_ids"]
        if not keeps or service not in self.ids:
            fresh = f"i-{self.random.getrandbits(32):08x}"
            # A VM may also keep its id when it changes its pool.
            self.ids[service] = (self.id if keeps and self.random.random() < 0.5
                                 else fresh)
        self.id, self.service = self.ids[service], service


class VmService:
    """Answers the platform's calls about VMs, inside the fleet's loop."""

    def __init__(self, fleet, port):
        self.fleet, self.port = fleet, port
        self.vms = {e.vm.name: e.vm for e in fleet.endpoints}
        self.random = random.Random(fleet.seed * 3 + 1)
        self.counts = {}

    async def begin(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, path, _ = head.split("\r\n")[0].split(" ")
                length = [int(h.split(":")[1]) for h in head.split("\r\n")
                          if h.lower().startswith("content-length:")]
                body = await reader.readexactly(length[0] if length else 0)
                status, answer = self.answer(method, path, body)
                lost = (path != "/machines" and self.random.random()
                        < self.fleet.traits["vm_answers_lost"])
                if lost and self.random.random() < 0.5:
                    self.fleet.log("the answer is lost")
                    break
                await asyncio.sleep(self.random.uniform(1.5, 4) if lost else
                                    self.random.uniform(0.005, 0.05))
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: "
                             f"{len(data)}\r\n\r\n".encode() + data)
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def answer(self, method, path, body):
        if path.startswith("/machines"):
            return 200, {"machines": [v.row() for v in self.vms.values()],
                         "next-page-token": ""}
        order = json.loads(body) if body else {}
        vm = self.vms.get(order.get("machine-id"))
        if path not in ("/machine-move", "/machine-upkeep") or vm is None:
            return 400, {}
        self.fleet.log(f"VM service: {path} {order} state {vm.state} pool "
                       f"{vm.pool}")
        if path == "/machine-move":
            if vm.pool == order["pool"]:
                return 200, {}
            seconds, state, pool = MOVE_SECONDS, "moving", order["pool"]
        else:
            if order["wave"] in vm.waves:
                return 200, {}
            seconds, state, pool = UPKEEP_SECONDS, "upkeep", vm.pool
        off = self.fleet.traits["spare_off"] and vm.pool == SPARE
        if vm.state != "up" or not (off or vm.endpoint.up.is_set()):
            return 409, {"reason": "busy"}
        if path == "/machine-upkeep":
            vm.waves.add(order["wave"])
        self.counts[path] = self.counts.get(path, 0) + 1
        vm.state, vm.pool = state, pool
        vm.endpoint.crash(self.fleet.traits["moves_reset"])
        self.fleet.spawn(self.join(vm, seconds))
        return 200, {}

    async def join(self, vm, seconds):
        await asyncio.sleep(seconds)
        vm.endpoint.join(vm.pool)
        if vm.pool != SPARE or not self.fleet.traits["spare_off"]:
            await vm.endpoint.begin()
        vm.state = "up"


class RecutDeployment(RealProcesses):
    """The deploy file's processes with the VM service of the play."""

    def __init__(self, tree, build, entries):
        self.vm_port = free_port()
        super().__init__(tree=tree, target=build, entries=entries, changes={
            "cloud-api.address": f"127.0.0.1:{self.vm_port}",
            "bounds.stop-timeout-ms": "900", "bounds.remote-factor": "1.5"})

    def configuration(self, **more):
        def route(name, prefix, service, lasts):
            return {"name": name, "host": HOST, "path-prefix": prefix,
                    "kind": "non_idempotent", "timeout-ms": 3000,
                    "target-latency-ms": 2500 if lasts else 600,
                    "priority": 0, "service": service, "max-attempts": 4,
                    "stretch": 2.2 if lasts else 1.6, "public": False}
        routes = [route(f"{kind}{s}", f"/{kind}{s}/", f"s-{s}", kind == "l")
                  for s in range(SERVING) for kind in "ql"]
        services = [{"name": f"s-{s}", "standby": s == SERVING,
                     "admission-check": False} for s in range(len(SIZES))]
        return super().configuration(routes=routes, services=services, **more)


class RecutFleet(IncarnationFleet):
    """The VMs of a site, their endpoints and the VM service."""

    tick_seconds = TICK_SECONDS
    heartbeat_seconds = HEARTBEAT_SECONDS

    def __init__(self, seed, traits, deployment):
        self.seed, self.traits = seed, traits
        super().__init__(seed, 0, 0, deployment)
        self.vm_service = VmService(self, deployment.vm_port)
        self.log(f"traits {json.dumps(traits)}")

    def make_endpoints(self, net, seed):
        made = []
        for s, size in enumerate(SIZES):
            for i in range(size):
                n = len(made)
                made.append(RecutEndpoint(
                    self, n, f"{net}.100.{n + 1}", seed, f"s-{s}",
                    ZONES[i % len(ZONES)], n // RACK))
        return made

    async def begin(self):
        await self.vm_service.begin()
        for endpoint in self.endpoints:
            if endpoint.service != SPARE or not self.traits["spare_off"]:
                await endpoint.begin()
        self.spawn(self.tick())

    async def call(self, method, path, body=None, entry=0, timeout=3.0):
        return await http_call(
            self.entries[entry].ip, 8340, method, path, body,
            {"Key": KEY, "Deadline-Remaining-Ms": str(int(timeout * 1000))},
            timeout)
