"""Endpoints that start again under their old ids, beside real processes.

The endpoints follow the platform's protocol on loopback sockets. Each keeps its
id and address over its incarnations; an incarnation knows nothing of the former
one. All of them run in one asyncio loop, which alone touches their state.
"""

import asyncio
import json
import math
import os
import random
import socket
import time

from platform_deployment import (KEY, HOST, OPERATORS_PORT, STATUS_PORT,
                                 CALLERS_PORT, ZONES, Deployment)

ENDPOINT_PORT = 8350
ENDPOINTS = 8
SERVICE = "s-one"
MAX_HOLD_MS = 6000
MAX_ENDS_LISTED = 500
STOP_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.0
TICK_SECONDS = 0.005
# Holds 40 tasks, so that the load spreads over most of the endpoints.
CPU = 4000
# Run numbers that one leader may give; each later leader begins above them.
RUNS_OF_AN_EPOCH = 1000
LATE_PATHS = ("/run-start", "/run-stop", "/hold")


async def http_call(ip, port, method, path, body=None, headers=None,
                    timeout=1.0):
    """Calls on a new connection; returns (status, bytes) or (0, b"")."""
    data = b"" if body is None else json.dumps(body).encode()
    head = {"Host": HOST, "Content-Type": "application/json",
            "Content-Length": str(len(data)), "Connection": "close",
            **(headers or {})}
    text = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{k}: {v}\r\n" for k, v in head.items()) + "\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(text.encode() + data)
            raw = await reader.read()
        head, _, content = raw.partition(b"\r\n\r\n")
        return int(head.split(b" ", 2)[1]), content
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer:
            writer.close()


class Run:
    """One run of a task on one incarnation, as its endpoint saw it."""

    def __init__(self, task, run, token, incarnation, call, begin, seconds):
        self.task, self.run, self.token = task, run, token
        self.incarnation = incarnation
        self.call = call
        self.begin = begin
        self.due = begin + seconds
        self.how_due = "done"
        self.end = None
        self.how = None
        self.number = 0
        self.lapsed = False
        self.listed = False
        self.noted = None

    def epoch(self):
        return self.run // RUNS_OF_AN_EPOCH + 1

    def text(self, began):
        def at(time_):
            return "-" if time_ is None else f"{time_ - began:.3f}"
        late = ("late order" if self.call.late else "order held by a cut"
                if self.call.held else "order not late")
        answered = "answered" if self.call.answered else "no answer"
        return (f"run {self.run} (epoch {self.epoch()}, token {self.token}) on "
                f"{self.incarnation.name()}, {late}, {answered}: sent "
                f"{at(self.call.sent)}, starts {at(self.begin)}, ends "
                f"{at(self.end)} {self.how}"
                f"{', noted ' + at(self.noted) if self.noted else ''}"
                f"{', lease lapsed before the note' if self.lapsed else ''}")


class Call:
    """A request that has reached an endpoint's address."""

    def __init__(self, path, headers, order):
        self.path, self.headers, self.order = path, headers, order
        self.sent = time.monotonic()
        self.late = False
        self.held = False
        self.answered = False


class Incarnation:
    """What one incarnation of an endpoint holds and knows."""

    def __init__(self, endpoint, number, clock_base, clock_rate):
        self.endpoint, self.number = endpoint, number
        self.clock_base, self.clock_rate = clock_base, clock_rate
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.fence = 0
        self.lease = self.began  # In time.monotonic().
        self.sequence = 0

    def name(self):
        return f"{self.endpoint.id}/{self.number}"

    def clock(self):
        now = time.monotonic()
        passed_ms = (now - self.began) * 1000
        return int(self.clock_base + passed_ms * self.clock_rate)

    def time_of(self, clock_ms):
        passed_ms = (clock_ms - self.clock_base) / self.clock_rate
        return self.began + passed_ms / 1000

    def expire(self):
        """Ends what is due, in order, up to now."""
        now = time.monotonic()
        until = min(now, self.lease)
        due = [r for r in self.runs.values() if r.due <= until]
        for run in sorted(due, key=lambda r: r.due):
            self.end(run, run.due, run.how_due)
        if self.lease <= now:
            for run in list(self.runs.values()):
                self.end(run, max(self.lease, run.begin), "lapsed")
            for run in self.ends:
                run.lapsed = True

    def end(self, run, at, how):
        del self.runs[run.task]
        self.last_end += 1
        run.number, run.end, run.how = self.last_end, at, how
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ends.append(run)

    def extend(self, deadline):
        until = min(deadline, self.clock() + MAX_HOLD_MS)
        self.lease = max(self.lease, self.time_of(until))

    def carry_out(self, call):
        """Returns (status, answer) of a call; /hold is answered at once."""
        self.expire()
        order = call.order
        token = order.get("fencing-token", 0)
        if token < self.fence:
            return self.rejected(call, "fence")
        if token > self.fence:
            self.log(f"token {token} by {call.path}")
        self.fence = token
        if call.path == "/run-start":
            return self.start(call)
        if call.path == "/run-stop":
            return self.stop(order)
        if call.path == "/hold":
            return self.hold(order)
        return self.answer(200)

    def answer(self, status, **more):
        return status, {"clock-ms": self.clock(), **more}

    def log(self, text):
        self.endpoint.log(f"{self.name()} {text}")

    def rejected(self, call, reason):
        if "task" in call.order:
            self.log(f"{call.path} {call.order['task']} run "
                     f"{call.order['run']} token "
                     f"{call.order.get('fencing-token')}: {reason}")
        return self.answer(409, reason=reason)

    def start(self, call):
        order = call.order
        task, run = order["task"], order["run"]
        if order["deadline-ms"] <= self.clock():
            return self.rejected(call, "late")
        self.extend(order["deadline-ms"])
        there = self.runs.get(task)
        if there and there.run == run:
            return self.answer(200)
        if there or run <= self.highest.get(task, 0):
            return self.rejected(call, "old")
        # A task without a duration runs until it is stopped.
        seconds = int(order["task-spec"]) / 1000 or math.inf
        begun = Run(task, run, order.get("fencing-token", 0), self, call,
                    time.monotonic(), seconds)
        self.runs[task] = begun
        self.endpoint.fleet.runs.append(begun)
        self.log(f"starts {task} run {run} token {begun.token}"
                 f"{' LATE' if call.late else ''}"
                 f"{' HELD' if call.held else ''}")
        return self.answer(200)

    def stop(self, order):
        task, run = order["task"], order["run"]
        there = self.runs.get(task)
        stopped_at = time.monotonic() + STOP_SECONDS
        if there and there.run <= run and there.due > stopped_at:
            there.due, there.how_due = stopped_at, "stopped"
        self.highest[task] = max(self.highest.get(task, 0), run)
        return self.answer(200)

    def hold(self, order):
        if "deadline-ms" in order:
            self.extend(order["deadline-ms"])
        for run in [r for r in self.ends if r.number <= order["last-seen"]]:
            if not run.lapsed:
                run.noted = time.monotonic()
            self.ends.remove(run)
        return None

    def lists(self):
        self.expire()
        listed = self.ends[:MAX_ENDS_LISTED]
        for run in listed:
            run.listed = True
        return self.answer(
            200, born=self.born,
            running=[[r.task, r.run, "", 100, 10] for r in self.runs.values()],
            ended=[[r.number, r.task, r.run, r.how, ""] for r in listed])


class Connection(asyncio.Protocol):
    """A connection to an endpoint's address; it may outlive an incarnation."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.buffer = b""
        self.calls = asyncio.Queue()
        self.silent = False
        self.closed = False
        self.held_in, self.held_out = [], []
        self.releasing = False

    def connection_made(self, transport):
        self.transport = transport
        self.endpoint.connections.add(self)
        self.endpoint.spawn(self.serve())

    def connection_lost(self, error):
        self.closed = True
        self.endpoint.connections.discard(self)
        self.calls.put_nowait(None)
        if self.held_in and error is None:
            # Closing a socket doesn't take back what it has sent.
            self.endpoint.closed_in_cut.append(self)

    def data_received(self, data):
        if self.endpoint.cut in ("in", "both"):
            if self.endpoint.cut_keeps:
                self.held_in.append(data)
                return
            self.silent = True
        if self.silent:
            return
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in
                       (line.partition(":") for line in lines[1:])}
            length = int(headers.get("content-length", 0))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            order = json.loads(rest[:length]) if length else {}
            call = Call(lines[0].split(" ")[1], headers, order)
            call.held = self.releasing
            if call.held:
                self.endpoint.log(f"{self.endpoint.id} held {call.path} "
                                  f"{order.get('task', '')} token "
                                  f"{order.get('fencing-token')}"
                                  f"{' (closed)' if self.closed else ''}")
            self.calls.put_nowait(call)

    def release(self):
        """Delivers what a cut has held up, in both directions."""
        held_in, self.held_in = self.held_in, []
        held_out, self.held_out = self.held_out, []
        if not self.closed:
            self.transport.writelines(held_out)
        self.releasing = True
        for data in held_in:
            self.data_received(data)
        self.releasing = False

    def calls_of_closed(self):
        """Returns the calls that arrived after their sender had closed."""
        calls = []
        while not self.calls.empty():
            calls.append(self.calls.get_nowait())
        return [c for c in calls if c]

    async def serve(self):
        while not self.closed:
            call = await self.calls.get()
            if call is None:
                return
            await self.endpoint.handle(call, self)

    def reply(self, call, status, answer):
        keeps = self.endpoint.cut_keeps
        cut = self.endpoint.cut in ("out", "both")
        if cut and not keeps:
            self.silent = True
        if self.closed or self.silent:
            return
        data = json.dumps(answer).encode()
        data = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n").encode() + data
        if cut:
            self.held_out.append(data)
            return
        self.transport.write(data)
        call.answered = True


class Endpoint:
    """An address and an id with one incarnation after another."""

    def __init__(self, fleet, number, ip, seed, service=SERVICE,
                 zone=ZONES[0], rack=1, cpu=CPU):
        self.fleet, self.ip = fleet, ip
        self.service, self.zone, self.rack, self.cpu = service, zone, rack, cpu
        self.id = f"i-w{number}"
        self.random = random.Random(seed * 1000 + number)
        self.connections = set()
        self.incarnation = None
        self.up = asyncio.Event()
        self.cut = None
        # A cut that keeps delivers at its end what was sent into it.
        self.cut_keeps = False
        self.closed_in_cut = []
        self.server = None
        self.incarnations = 0
        # Clocks that all begin alike don't tell incarnations apart.
        self.begins_at_zero = self.random.random() < 0.5

    def log(self, text):
        self.fleet.log(text)

    async def listen(self):
        if self.server is None:
            self.server = await asyncio.get_running_loop().create_server(
                lambda: Connection(self), self.ip, ENDPOINT_PORT, backlog=1000)

    async def begin(self):
        """Starts the next incarnation; its first heartbeat comes later."""
        draw = self.random
        base = 0 if self.begins_at_zero else draw.randrange(3_000_000)
        self.incarnations += 1
        self.incarnation = Incarnation(self, self.incarnations, base,
                                       draw.choice([1, draw.uniform(0.98, 1)]))
        await self.listen()
        self.log(f"{self.incarnation.name()} begins, clock {base}")
        self.up.set()
        self.spawn(self.send_heartbeats(
            self.incarnation, draw.choice([draw.uniform(0.005, 0.05),
                                           draw.uniform(0.005, 0.5)])))

    def spawn(self, work):
        self.fleet.spawn(work)

    def crash(self, resets, silent=False):
        """Ends the incarnation. Without resets the connections stay, and the
        next incarnation takes their calls unless they fall silent."""
        if not self.up.is_set():
            return
        self.up.clear()
        ended = self.incarnation
        ended.expire()
        now = time.monotonic()
        for run in ended.runs.values():
            run.end, run.how = now, "crash"
        self.log(f"{ended.name()} crashes with {len(ended.runs)} runs, "
                 f"connections {'reset' if resets else 'kept'}")
        if resets:
            self.server.close()
            self.server = None
            self.reset()
            self.closed_in_cut.clear()
        for connection in self.connections if silent else ():
            connection.silent = True

    def reset(self):
        for connection in list(self.connections):
            connection.transport.abort()

    def cut_off(self, direction, keeps=False):
        self.cut, self.cut_keeps = direction, keeps
        self.log(f"{self.id} cut off: {direction}"
                 f"{', bytes are kept' if keeps else ''}")

    def heal(self, resets=True):
        self.cut = None
        self.log(f"{self.id} no longer cut off")
        if resets:
            self.reset()
            return
        for connection in list(self.connections):
            connection.release()
        closed, self.closed_in_cut = self.closed_in_cut, []
        for connection in closed:
            connection.release()
            for call in connection.calls_of_closed():
                if self.up.is_set():
                    self.incarnation.carry_out(call)

    async def handle(self, call, connection):
        draw = self.random
        await self.up.wait()
        if connection.closed:
            return
        if call.headers.get("expected-instance", self.id) != self.id:
            connection.reply(call, 421, {})
            return
        if call.path in LATE_PATHS and draw.random() < self.fleet.late_share:
            call.late = True
            self.spawn(self.carry_out_later(call, draw.uniform(0.3, 9)))
            connection.silent = True
            if draw.random() < 0.5:
                connection.transport.abort()
            return
        at_work = self.incarnation
        answer = at_work.carry_out(call)
        if answer is None:
            answer = await self.held(call, connection, at_work)
            if answer is None:
                return
        if draw.random() < self.fleet.delayed_share:
            await asyncio.sleep(draw.uniform(0.02, 1.5))
        connection.reply(call, *answer)

    async def held(self, call, connection, at_work):
        until = time.monotonic() + call.order.get("wait-ms", 0) / 1000
        while True:
            if self.incarnation is not at_work or not self.up.is_set():
                # No one is left to answer; the connection may stay open.
                connection.silent = True
                if self.random.random() < 0.5:
                    connection.transport.abort()
                return None
            at_work.expire()
            if connection.closed:
                return None
            if at_work.ends or time.monotonic() >= until:
                return at_work.lists()
            await asyncio.sleep(self.fleet.tick_seconds)

    async def carry_out_later(self, call, seconds):
        received_by = self.incarnation
        await asyncio.sleep(seconds)
        if (self.fleet.late_orders_end_with_incarnation
                and self.incarnation is not received_by):
            return
        if self.up.is_set() and self.cut not in ("in", "both"):
            self.incarnation.carry_out(call)

    def facts(self, incarnation):
        incarnation.sequence += 1
        return {"service": self.service,
                "address": f"{self.ip}:{ENDPOINT_PORT}",
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "memory-request-mb": 262144,
                             "gpu": 0},
                "labels": ["a", f"r1-{self.rack}"],
                "clock-ms": incarnation.clock(),
                "sequence": incarnation.sequence, "born": incarnation.born}

    async def send_heartbeats(self, incarnation, seconds):
        ips = self.fleet.control_ips
        member = self.random.randrange(len(ips))
        address = None
        await asyncio.sleep(seconds)
        while self.incarnation is incarnation and self.up.is_set():
            body = self.facts(incarnation)
            if self.cut not in ("out", "both"):
                for _ in range(len(ips)):
                    ip, port = address or (ips[member], OPERATORS_PORT)
                    status, content = await http_call(
                        ip, int(port), "PUT", f"/instances/{self.id}", body)
                    if 200 <= status < 300 and self.cut != "in":
                        address = self.heartbeat_address(content)
                        break
                    address, member = None, (member + 1) % len(ips)
                    if self.incarnation is not incarnation:
                        return
            await asyncio.sleep(self.fleet.heartbeat_seconds)

    @staticmethod
    def heartbeat_address(content):
        try:
            named = json.loads(content).get("heartbeat-address")
            return tuple(named.rsplit(":", 1)) if named else None
        except (ValueError, AttributeError):
            return None


class RealProcesses(Deployment):
    """The deploy file's processes; the endpoints send their own heartbeats."""

    def free_net(self):
        """Returns a network that no other play takes before this one ends."""
        while True:
            net = super().free_net()
            self.claim = socket.socket()
            try:
                self.claim.bind((f"{net}.250.1", ENDPOINT_PORT))
                return net
            except OSError:
                self.claim.close()
                time.sleep(random.random())

    def __exit__(self, *args):
        super().__exit__(*args)
        self.claim.close()

    def send_heartbeats(self):
        pass

    def answer_services(self, method, path, body):
        return 200, json.dumps({"machines": [], "next-page-token": ""}).encode()


class IncarnationFleet:
    """Endpoints and processes of one play. Used inside one asyncio loop."""

    tick_seconds = TICK_SECONDS
    heartbeat_seconds = HEARTBEAT_SECONDS
    late_orders_end_with_incarnation = False

    def __init__(self, seed, late_share, delayed_share, deployment):
        self.deployment = deployment
        self.controls = deployment.of("control")
        self.entries = deployment.of("entry")
        self.control_ips = [n.ip for n in self.controls]
        self.late_share, self.delayed_share = late_share, delayed_share
        self.runs = []
        self.tasks = set()
        self.began = time.monotonic()
        self.record = open(os.path.join(deployment.folder, "record.txt"), "w")
        self.endpoints = self.make_endpoints(
            self.control_ips[0].rsplit(".", 2)[0], seed)

    def make_endpoints(self, net, seed):
        return [Endpoint(self, i, f"{net}.9.{i + 1}", seed)
                for i in range(ENDPOINTS)]

    def log(self, text):
        if self.record.closed:
            return  # A task that is cancelled at the end of the play.
        now = time.time()
        stamp = time.strftime("%H:%M:%S", time.gmtime(now))
        self.record.write(f"{time.monotonic() - self.began:8.3f} "
                          f"{stamp}.{int(now * 1000) % 1000:03d} {text}\n")

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)

    def finished(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.log(f"rig error: {task.exception()!r}")
            raise task.exception()

    async def begin(self):
        for endpoint in self.endpoints:
            await endpoint.begin()
        self.spawn(self.tick())

    async def tick(self):
        while True:
            for endpoint in self.endpoints:
                if endpoint.up.is_set():
                    endpoint.incarnation.expire()
            await asyncio.sleep(self.tick_seconds)

    def end(self):
        for task in list(self.tasks):
            task.cancel()
        self.record.close()

    async def leader(self):
        """Returns the member that says that it leads, or None."""
        answers = await asyncio.gather(*[
            http_call(n.ip, STATUS_PORT, "GET", "/metrics", timeout=0.3)
            for n in self.controls])
        for node, (_, content) in zip(self.controls, answers):
            if b"almondgate_control_leads 1" in content:
                return node
        return None

    async def job_call(self, method, job, body=None, entry=0, timeout=4.0):
        return await http_call(
            self.entries[entry].ip, CALLERS_PORT, method, f"/one/{job}", body,
            {"Key": KEY, "Deadline-Remaining-Ms": str(int(timeout * 1000))},
            timeout)
