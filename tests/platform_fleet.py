"""The platform's programs with stand-ins for an endpoint and the VM service."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from fleet import Fleet, free_port, http_call, wait_until

HOST = "q.example"
KEY = "key-of-the-account"
HEARTBEAT_SECONDS = 0.3


class Stub:
    """An HTTP server; `answer(method, path, body)` returns (status, bytes)."""

    def __init__(self, answer):
        self.port = free_port()

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self):
                body = self.rfile.read(int(self.headers["content-length"] or 0))
                status, content = answer(self.command, self.path, body)
                self.send_response(status)
                self.send_header("content-length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_GET = do_POST = handle_any

            def log_message(self, *args):
                pass

        class Server(ThreadingHTTPServer):
            def handle_error(self, request, client_address):
                pass  # The program under test ended or closed a connection.

        server = Server(("127.0.0.1", self.port), Handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()


class Endpoint:
    """An endpoint that runs each task for `run_seconds`.

    While `bad_answer` is set, each call is answered with these bytes and is
    not carried out.
    """

    def __init__(self, run_seconds):
        self.run_seconds = run_seconds
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.runs = {}
        self.ends = []
        self.starts = []
        self.bad_answer = None
        self.calls = 0
        self.stub = Stub(self.answer)

    def facts(self, **more):
        return {
            "service": "s-one", "address": f"127.0.0.1:{self.stub.port}",
            "zone": "z0", "version": "v1", "slots": 8, "state": "ready",
            "cold-remaining-ms": 0, "labels": ["a", "r1"],
            "capacity": {"cpu": 64000, "memory-request-mb": 64000, "gpu": 0},
            "machine-id": "m-1", "born": self.born,
            "sequence": int(time.time() * 1000), **more}

    def clock(self):
        return int(time.time() * 1000) - self.born

    def answer(self, method, path, body):
        with self.lock:
            self.calls += 1
            if self.bad_answer is not None:
                return 200, self.bad_answer
            call = json.loads(body)
            self.expire()
            if path == "/run-start":
                return self.start(call)
            if path != "/hold":
                return 200, json.dumps({"clock-ms": self.clock()}).encode()
            self.ends = [e for e in self.ends if e[0] > call["last-seen"]]
            return 200, json.dumps({
                "clock-ms": self.clock(), "born": self.born,
                "running": [[t, run, "", 50, 0]
                            for t, (run, _) in self.runs.items()],
                "ended": self.ends}).encode()

    def start(self, call):
        if call["task"] not in self.runs:
            self.starts.append(call["task"])
            self.runs[call["task"]] = (call["run"], time.monotonic())
        return 200, json.dumps({"clock-ms": self.clock()}).encode()

    def expire(self):
        now = time.monotonic()
        for task, (run, began) in list(self.runs.items()):
            if now - began >= self.run_seconds:
                del self.runs[task]
                number = len(self.starts) - len(self.runs)
                self.ends.append([number, task, run, "done", ""])


class PlatformFleet:
    """One control member, one entry, one endpoint and the VM service."""

    def __init__(self, run_seconds):
        self.fleet = Fleet(members=0, placers=0, entries=0)
        self.endpoint = Endpoint(run_seconds)
        self.bad_list = None
        self.vm_service = Stub(self.answer_vm_service)
        inner, self.control_port, self.entry_port = (
            free_port(), free_port(), free_port())
        self.ports = {"control": self.control_port, "inner": inner,
                      "entry": self.entry_port}
        add, common = self.fleet._add, self.fleet._common_args
        seeds = f"127.0.0.1:{inner}"
        add("control", "almondgate-platform-control",
            common("control", "z0", inner, seeds) + [
                f"--public=127.0.0.1:{self.control_port}", "--name=c0",
                "--found=true", "--tolerated-losses=0",
                f"--control-port={inner}",
                f"--data={self.fleet.data_folder('control')}",
                f"--vm-service=127.0.0.1:{self.vm_service.port}",
                f"--advice-service=127.0.0.1:{self.vm_service.port}"])
        add("entry", "almondgate-platform-entry",
            common("entry", "z0", None, seeds) + [
                f"--public=127.0.0.1:{self.entry_port}"])
        self.ports.update({f"{name} status": port for name, port
                           in self.fleet.status_ports.items()})
        self.stopping = threading.Event()

    def __enter__(self):
        self.fleet.__enter__()
        self.processes = list(self.fleet.processes.values())
        for process in self.processes:
            process.start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()
        return self

    def __exit__(self, *args):
        self.stopping.set()
        return self.fleet.__exit__(*args)

    def answer_vm_service(self, method, path, body):
        if self.bad_list is not None:
            return 200, self.bad_list
        return 200, json.dumps({"machines": [
            {"machine-id": "m-1", "pool": "s-one", "state": "up",
             "zone": "z0", "labels": ["a", "r1"],
             "capacity": self.endpoint.facts()["capacity"], "id": "i-1"}],
            "next-page-token": ""}).encode()

    def send_heartbeats(self):
        while not self.stopping.wait(HEARTBEAT_SECONDS):
            try:
                self.control("PUT", "/instances/i-1", self.endpoint.facts())
            except OSError:
                pass  # The member is not listening yet.

    def control(self, method, path, body):
        return http_call(self.control_port, method, path, json.dumps(body))[0]

    def call(self, method, path, body=None, key=KEY):
        status, _, content = http_call(
            self.entry_port, method, path,
            None if body is None else json.dumps(body),
            {"Host": HOST, "Key": key})
        return status, content

    def configure(self):
        config = {
            "version": 1,
            "routes": [{"name": "r", "host": HOST, "path-prefix": "/one/",
                        "kind": "non_idempotent", "timeout-ms": 3000,
                        "target-latency-ms": 600, "priority": 0,
                        "service": "s-one", "max-attempts": 3,
                        "stretch": 50.0, "public": False}],
            "services": [{"name": "s-one", "standby": False,
                          "admission-check": False}],
            "tenants": [{"name": "t", "api-keys": [KEY], "weight": 1,
                         "upper-limit": {"cpu": 0, "memory-request-mb": 0,
                                         "gpu": 0}}]}

        def put():
            try:
                return self.control("PUT", "/config", config) == 200
            except OSError:
                return False
        wait_until(put, 20, "the configuration is accepted")

    def submit(self, job, count):
        spec = {"task-spec": "x", "steps": [
            {"count": count, "cpu": 1000, "memory-request-mb": 10,
             "estimated-ms": 500}]}

        def accepted():
            return self.call("POST", f"/one/{job}", spec)[0] == 200
        wait_until(accepted, 20, f"job {job} is accepted")

    def state(self, job):
        status, content = self.call("GET", f"/one/{job}")
        return json.loads(content)["state"] if status == 200 else status
