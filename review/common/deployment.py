"""A small deployment of almondgate on loopback addresses, with stand-ins.

Starts the programs with the command lines of deploy/system.toml: three control
members and two entries, each at an IP address of its own in 127.0.0.0/8. Plays
the platform (restarts processes that end), the VM service, the workers, the
clients and the operator. Everything is written to record.txt.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "q.example"
KEY = "key-of-the-first-tenant"


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def free_base_port(ips, count):
    """Returns the first of `count` ports that are free at all addresses."""
    for _ in range(200):
        base = random.randrange(20000, 30000)
        held = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    s = socket.socket()
                    held.append(s)
                    s.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise CannotRun("no free ports")


class Server:
    """A process of almondgate on one machine, restarted when it ends."""

    def __init__(self, name, command, env, log, record):
        self.name, self.command, self.env, self.log = name, command, env, log
        self.record = record
        self.popen = None
        self.first = True
        self.held_down = False
        self.own_ends = []
        self.down_since = None

    def start(self):
        command = [word if self.first or not word.startswith("--found=")
                   else "--found=false" for word in self.command]
        self.first = False
        with open(self.log, "ab") as out:
            self.popen = subprocess.Popen(command, cwd=ROOT, env=self.env,
                                          stdout=out, stderr=out)
        self.record(f"process {self.name} started")

    def terminate(self, down_s=1.0):
        """SIGTERM, as planned work; it starts again after a pause."""
        self.held_down = True
        self.popen.terminate()
        self.record(f"process {self.name} gets SIGTERM")
        try:
            self.popen.wait(6)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
        self.record(f"process {self.name} has stopped")
        threading.Timer(down_s, self.release).start()

    def kill(self):
        """SIGKILL, as a disruption; it stays down until release()."""
        self.held_down = True
        self.popen.kill()
        self.popen.wait()
        self.record(f"process {self.name} killed by the script")

    def release(self):
        self.held_down = False
        self.down_since = None
        self.start()

    def watch(self):
        """Restarts the process a second after it ended by itself."""
        if self.held_down or self.popen.poll() is None:
            return
        now = time.monotonic()
        if self.down_since is None:
            self.down_since = now
            self.own_ends.append(now)
            self.record(f"process {self.name} ended by itself, "
                        f"exit status {self.popen.returncode}")
        elif now - self.down_since >= 1:
            self.down_since = None
            self.start()


class Deployment:
    def __init__(self, folder, net, workers=(), services=("s-one",), entries=2):
        """`net` is the second byte of the addresses; `workers` are Worker
        objects that the deployment serves."""
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="almondgate-review-")
        self.control_ips = [f"127.{net}.0.{i}" for i in (11, 12, 13)]
        self.entry_ips = [f"127.{net}.0.{21 + i}" for i in range(entries)]
        self.worker_ips = [f"127.{net}.1.{i + 1}" for i in range(len(workers))]
        self.vm_ip = f"127.{net}.2.1"
        base = free_base_port(self.control_ips + self.entry_ips +
                              self.worker_ips + [self.vm_ip], 20)
        self.inner, self.public, self.ready = base, base + 16, base + 17
        self.worker_port, self.vm_port = base + 18, base + 19
        self.workers = list(workers)
        self.services = services
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.roles = tomllib.load(f)["roles"]
        self.controls = [self._server(f"control-{i}", "control", ip)
                         for i, ip in enumerate(self.control_ips)]
        self.entries = [self._server(f"entry-{i}", "entry", ip)
                        for i, ip in enumerate(self.entry_ips)]
        self.version = 0
        self.stopping = False

    def _server(self, name, role, ip):
        values = {
            "listen-addresses.frontend": f"{ip}:{self.public}",
            "listen-addresses.control": f"{ip}:{self.public}",
            "listen-addresses.ready": f"{ip}:{self.ready}",
            "ip": ip, "zone": "zone-a", "node-name": name,
            "internal-port-range.0": str(self.inner),
            "internal-port-range.1": str(self.inner + 1),
            "seeds": ",".join(f"{c}:{self.public}" for c in self.control_ips),
            "data-directory": os.path.join(self.temp, name),
            "first-start": "true", "fault-tolerance.machines": "1",
            "bounds.stop-timeout-ms": "200",
            "cloud-api.address": f"{self.vm_ip}:{self.vm_port}",
            "advice": f"{self.vm_ip}:{self.vm_port}",
        }
        words = []
        for word in self.roles[role]["run"].split():
            for key, value in values.items():
                word = word.replace("{{" + key + "}}", value)
            if "{{" in word:
                raise CannotRun("the deploy file has a new field: " + word)
            words.append(word)
        words[0] = os.path.join(ROOT, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun(words[0] + " is not built")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env.update(self.roles[role].get("env", {}))
        return Server(name, words, env, os.path.join(self.temp, name + ".log"),
                      self.record)

    # -- life

    def start(self):
        for server in self.controls + self.entries:
            server.start()
        threading.Thread(target=self._watch, daemon=True).start()
        threading.Thread(target=self._serve, daemon=True).start()

    def _watch(self):
        while not self.stopping:
            for server in self.controls + self.entries:
                server.watch()
            time.sleep(0.02)

    def _serve(self):
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._listen())
        self.loop.run_forever()

    async def _listen(self):
        await asyncio.start_server(
            lambda r, w: serve_http(r, w, self.answer_vm_service),
            self.vm_ip, self.vm_port)
        for worker, ip in zip(self.workers, self.worker_ips):
            worker.attach(self, ip, self.worker_port)
            await worker.begin()

    def answer_vm_service(self, method, path, headers, body):
        self.record(f"VM service: {method} {path} {body!r}")
        if method == "GET" and path.startswith("/machines"):
            return 200, {"machines": [], "next-page-token": ""}
        return 400, {}

    def stop(self):
        self.stopping = True
        for server in self.controls + self.entries:
            server.held_down = True
            if server.popen and server.popen.poll() is None:
                server.popen.kill()
                server.popen.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs kept in", self.temp, file=sys.stderr)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)

    # -- callers

    def http(self, ip, method, path, body=None, headers=None, timeout=3.0,
             quiet=False):
        """One call on a new connection; returns (status, parsed body)."""
        data = body if isinstance(body, bytes) else (
            b"" if body is None else json.dumps(body).encode())
        head = {"Host": HOST, "Content-Type": "application/json",
                "Content-Length": str(len(data)), "Connection": "close"}
        head.update(headers or {})
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(
            f"{k}: {v}\r\n" for k, v in head.items()) + "\r\n"
        try:
            with socket.create_connection((ip, self.public), timeout) as s:
                s.settimeout(timeout)
                s.sendall(text.encode() + data)
                raw = b""
                while chunk := s.recv(65536):
                    raw += chunk
            status = int(raw.split(b" ", 2)[1])
            content = raw.split(b"\r\n\r\n", 1)[1]
            try:
                answer = json.loads(content)
            except ValueError:
                answer = None
        except (OSError, IndexError, ValueError) as e:
            status, answer = 0, type(e).__name__
        if not quiet:
            self.record(f"{method} {path} to {ip}: {status or 'no answer'} "
                        f"{json.dumps(answer)[:100]}")
        return status, answer

    def control_call(self, method, path, body=None, seconds=15, quiet=False):
        """Like the operator: tries the members in turn until a clear answer."""
        end = time.monotonic() + seconds
        i = 0
        while time.monotonic() < end:
            status, answer = self.http(
                self.control_ips[i % len(self.control_ips)], method, path, body,
                timeout=1.0, quiet=quiet)
            if status and status < 500 and status not in (408, 429):
                return status, answer
            i += 1
            time.sleep(0.1)
        raise CannotRun(f"no clear answer to {method} {path}")

    def route(self, name, prefix, service, **more):
        out = {"name": name, "host": HOST, "path-prefix": prefix,
               "kind": "non_idempotent", "timeout-ms": 3000,
               "target-latency-ms": 600, "priority": 0, "service": service,
               "max-attempts": 3, "stretch": 50.0, "public": False}
        out.update(more)
        return out

    def configure(self, routes, quiet=False):
        self.version += 1
        config = {
            "version": self.version, "routes": routes,
            "services": [{"name": s, "health-check-path": "/health",
                          "max-connections": 64, "protocol": "h1", "tls": False,
                          "admission-check": False, "standby": False}
                         for s in self.services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "tenant-1", "api-keys": [KEY], "priority": 1,
                         "weight": 1, "upper-limit": {
                             "cpu": 0, "memory-request-mb": 0, "gpu": 0}}]}
        status, _ = self.control_call("PUT", "/config", config, quiet=quiet)
        if status != 200:
            raise CannotRun(f"configuration refused: {status}")
        self.record(f"configuration {self.version} acknowledged, routes: " +
                    ", ".join(f"{r['path-prefix']} -> {r['service']}"
                              for r in routes))
        return config

    def client_call(self, method, path, body=None, timeout=3.0, entry=None):
        ip = entry or random.choice(self.entry_ips)
        return self.http(ip, method, path, body,
                         {"Key": KEY, "Deadline-Remaining-Ms":
                          str(int(timeout * 1000))}, timeout)

    def submit(self, path, spec, seconds=10):
        """Sends the job again under its ID until it is accepted."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.client_call("POST", path, spec)[0] == 200:
                self.record(f"job {path} accepted")
                return
            time.sleep(0.2)
        raise CannotRun(f"job {path} was not accepted")

    def get(self, path):
        status, answer = self.client_call("GET", path)
        return answer["state"] if status == 200 and answer else status

    def leader(self, seconds=10):
        """Returns the leading control member, by its metrics."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for server, ip in zip(self.controls, self.control_ips):
                if self._leads(ip):
                    return server
            time.sleep(0.05)
        raise CannotRun("no control member leads")

    def _leads(self, ip):
        try:
            with socket.create_connection((ip, self.inner + 1), 0.5) as s:
                s.settimeout(0.5)
                s.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
                          b"Connection: close\r\n\r\n")
                raw = b""
                while chunk := s.recv(65536):
                    raw += chunk
            return b"almondgate_control_leads 1" in raw
        except OSError:
            return False

    def wait_workers(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(w.holds > 1 for w in self.workers):
                return
            time.sleep(0.05)
        raise CannotRun("the workers are not in use")


async def serve_http(reader, writer, answer):
    """Serves HTTP/1.1 requests of one connection; answer() may be async."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            method, path, _ = lines[0].split(" ")
            headers = {k.lower(): v.strip() for k, _, v in
                       (line.partition(":") for line in lines[1:] if line)}
            body = await reader.readexactly(
                int(headers.get("content-length", 0)))
            result = answer(method, path, headers, body)
            if asyncio.iscoroutine(result):
                result = await result
            status, content = result
            data = json.dumps(content).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/"
                         f"json\r\nContent-Length: {len(data)}\r\n\r\n"
                         .encode() + data)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


MAX_ENDS_LISTED = 500
MAX_HOLD_MS = 6000
STOP_MS = 50


class Worker:
    """A worker as PROTOCOL.md describes it, without gangs and checkpoints.

    `run_ms(task)` is how long a task takes. It guards nothing
    (admission-check false). While `cut` is set, nothing passes its links; its
    tasks work on until their lease ends.
    """

    def __init__(self, name, service, cpu, run_ms, heartbeat_s=1.5):
        self.name, self.service, self.cpu = name, service, cpu
        self.run_ms, self.heartbeat_s = run_ms, heartbeat_s
        self.cut = False
        self.down = False
        self.machine = None  # the machine-id, where machines are managed
        self.life = 0
        self.holds = 0
        self.starts = []     # (time, task, run)
        self.ends = []       # (time, task, run, how)
        self.seen = {}       # (task, run) -> time when its end was taken note of
        self.spans = []      # (task, run, begin, end)

    def attach(self, deployment, ip, port):
        self.d, self.ip, self.port = deployment, ip, port
        self.record = deployment.record

    def capacity(self):
        return {"cpu": self.cpu, "memory-request-mb": 262144, "gpu": 0}

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000)

    def new_life(self):
        """Starts a life that holds and knows nothing of before."""
        self.life += 1
        self.id = f"i-{self.name}-{self.life}"
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs = {}       # task -> [run, begin, end time]
        self.ended = []      # [N, task, run, how, saved]
        self.last_end = 0
        self.highest = {}    # task -> highest run stopped or ended here
        self.fence = 0
        self.lease = 0       # on the own clock
        self.sequence = 0
        self.down = False
        self.record(f"worker {self.name}: life {self.id} begins")

    def crash(self):
        """Ends the life with all that runs in it, silently."""
        now = time.monotonic()
        for task, (run, begin, _) in self.runs.items():
            self.spans.append((task, run, begin, now))
        self.runs = {}
        self.down = True
        self.record(f"worker {self.name}: life {self.id} ends")

    async def begin(self):
        self.new_life()
        await asyncio.start_server(
            lambda r, w: serve_http(r, w, self.answer), self.ip, self.port)
        asyncio.ensure_future(self.beat())
        asyncio.ensure_future(self.tick())

    async def beat(self):
        i = random.randrange(3)
        while not self.d.stopping:
            if self.down:
                await asyncio.sleep(0.02)
                continue
            life = self.life
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.ip}:{self.port}",
                    "zone": "zone-a", "version": "v1", "slots": 8,
                    "state": "ready", "cold-remaining-ms": 0,
                    "capacity": self.capacity(), "labels": ["a", "r1-1"],
                    "clock-ms": self.clock(), "sequence": self.sequence,
                    "born": self.born}
            if self.machine:
                body["machine-id"] = self.machine
            for _ in range(3):
                if self.cut or self.down:
                    break
                ip = self.d.control_ips[i % 3]
                status, _ = await asyncio.to_thread(
                    self.d.http, ip, "PUT", "/instances/" + self.id, body,
                    None, 1.0, True)
                if 200 <= status < 300:
                    break
                i += 1
            until = time.monotonic() + self.heartbeat_s
            while time.monotonic() < until and life == self.life:
                await asyncio.sleep(0.02)

    def end(self, task, how):
        run, begin, _ = self.runs.pop(task)
        self.last_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ended.append([self.last_end, task, run, how, ""])
        now = time.monotonic()
        self.ends.append((now, task, run, how))
        self.spans.append((task, run, begin, now))
        self.record(f"worker {self.name}: {task} run {run} ends {how}")

    async def tick(self):
        while not self.d.stopping:
            now = time.monotonic()
            if self.clock() >= self.lease:
                for task in list(self.runs):
                    self.end(task, "lapsed")
            for task in [t for t, r in self.runs.items() if r[2] <= now]:
                self.end(task, "done")
            await asyncio.sleep(0.005)

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + MAX_HOLD_MS))

    async def answer(self, method, path, headers, body):
        if self.down:
            raise ConnectionResetError
        while self.cut:
            await asyncio.sleep(0.05)
            if not self.cut:
                raise ConnectionResetError
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body) if body else {}
        token = order.get("fencing-token", 0)
        if path in ("/run-start", "/run-stop", "/hold", "/pace"):
            if token < self.fence:
                return self.reply(409, "fence")
            self.fence = max(self.fence, token)
        if path == "/run-start":
            return self.start(order)
        if path == "/run-stop":
            return self.stop_run(order)
        if path == "/hold":
            return await self.hold(order)
        return self.reply(200) if path == "/pace" else (404, {})

    def reply(self, status, reason=None):
        out = {"clock-ms": self.clock(), "born": self.born}
        if reason:
            out["reason"] = reason
        return status, out

    def start(self, order):
        task, run = order["task"], order["run"]
        if order["deadline-ms"] <= self.clock():
            return self.reply(409, "late")
        self.extend(order["deadline-ms"])
        if task in self.runs and self.runs[task][0] == run:
            return self.reply(200)
        if run <= self.highest.get(task, 0) or task in self.runs:
            return self.reply(409, "old")
        now = time.monotonic()
        self.runs[task] = [run, now, now + self.run_ms(task) / 1000]
        self.starts.append((now, task, run))
        self.record(f"worker {self.name}: {task} run {run} starts, "
                    f"fencing-token {order['fencing-token']}")
        return self.reply(200)

    def stop_run(self, order):
        task, run = order["task"], order["run"]
        if task in self.runs and self.runs[task][0] <= run:
            self.end(task, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), run)
        return self.reply(200)

    async def hold(self, order):
        self.holds += 1
        if "deadline-ms" in order:
            self.extend(order["deadline-ms"])
        for row in self.ended:
            if row[0] <= order["last-seen"]:
                self.seen[(row[1], row[2])] = time.monotonic()
        self.ended = [r for r in self.ended if r[0] > order["last-seen"]]
        until = time.monotonic() + order.get("wait-ms", 0) / 1000
        life = self.life
        while not self.ended and time.monotonic() < until:
            await asyncio.sleep(0.005)
            if self.down or life != self.life:
                raise ConnectionResetError
        status, out = self.reply(200)
        out["running"] = [[t, r[0], "", 100, 10] for t, r in self.runs.items()]
        out["ended"] = self.ended[:MAX_ENDS_LISTED]
        return status, out


def stand_alone(case):
    """Runs case(folder), which returns whether the rule held."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    try:
        held = case(folder)
    except CannotRun as e:
        print("could not run:", e)
        sys.exit(2)
    sys.exit(0 if held else 1)
