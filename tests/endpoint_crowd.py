"""Many stand-in endpoints in one thread, each with an address of its own."""

import asyncio
import json
import threading
import time

from fleet import free_port

HEARTBEAT_SECONDS = 1.5
RETRY_SECONDS = 0.3
ANSWER_SECONDS = 5


async def read_message(reader):
    """Returns the first line, the fields and the body of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rows = head[:-4].split("\r\n")
    fields = {}
    for row in rows:
        name, _, value = row.partition(":")
        fields[name.lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return first, fields, body


class CrowdEndpoint:
    """One endpoint; a renewal with wait-ms stays open until a run ends."""

    def __init__(self, number, ip, port, run_seconds):
        self.id, self.vm = f"e-{number}", f"m-{number}"
        self.address = f"{ip}:{port}"
        self.run_seconds = run_seconds
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs, self.ends, self.end_count = {}, [], 0
        self.ended = asyncio.Event()
        self.target = None

    def clock(self):
        return int(time.time() * 1000) - self.born

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({
            "service": "s-one", "address": self.address, "zone": "z0",
            "version": "v1", "slots": 8, "state": "ready",
            "cold-remaining-ms": 0, "labels": ["a", "r1"],
            "capacity": {"cpu": 4000, "memory-request-mb": 64000, "gpu": 0},
            "machine-id": self.vm, "born": self.born,
            "sequence": self.sequence}).encode()

    def end(self, task):
        run = self.runs.pop(task)
        self.end_count += 1
        self.ends.append([self.end_count, task, run, "done", ""])
        self.ended.set()

    async def answer(self, path, call):
        if path == "/run-start" and call["task"] not in self.runs:
            self.runs[call["task"]] = call["run"]
            asyncio.get_running_loop().call_later(
                self.run_seconds, self.end, call["task"])
        if path != "/hold":
            return {"clock-ms": self.clock()}
        # What was acknowledged is forgotten.
        self.ends = [e for e in self.ends if e[0] > call["last-seen"]]
        if call.get("wait-ms") and not self.ends:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(),
                                       call["wait-ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return {"clock-ms": self.clock(), "born": self.born,
                "running": [[t, run, "", 50, 0]
                            for t, run in self.runs.items()],
                "ended": self.ends}


class EndpointCrowd:
    """Endpoints that keep one connection each for their heartbeats."""

    def __init__(self, net, count, seeds, run_seconds=0.5):
        self.port = free_port()
        self.seeds = seeds
        self.endpoints = {}
        for i in range(count):
            ip = f"{net}.{100 + i // 250}.{1 + i % 250}"
            at = CrowdEndpoint(i, ip, self.port, run_seconds)
            self.endpoints[at.id] = at
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        self.thread.start()

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    def run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(asyncio.start_server(
            self.serve, "0.0.0.0", self.port, backlog=1024))
        for i, endpoint in enumerate(self.endpoints.values()):
            self.loop.create_task(self.send_heartbeats(i, endpoint))
        self.loop.run_forever()

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields, body = await read_message(reader)
                endpoint = self.endpoints[fields["expected-instance"]]
                answer = json.dumps(await endpoint.answer(
                    first.split(" ")[1], json.loads(body))).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
                             % len(answer) + answer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # The program under test closed the connection.
        finally:
            writer.close()

    async def send_heartbeats(self, number, endpoint):
        await asyncio.sleep(HEARTBEAT_SECONDS * number / len(self.endpoints))
        tries, connection, target = number, None, None
        while True:
            target = endpoint.target or self.seeds[tries % len(self.seeds)]
            try:
                if connection is None:
                    ip, port = target.split(":")
                    connection = await asyncio.wait_for(
                        asyncio.open_connection(ip, int(port)), ANSWER_SECONDS)
                reader, writer = connection
                body = endpoint.heartbeat()
                writer.write(
                    f"PUT /instances/{endpoint.id} HTTP/1.1\r\nhost: {target}"
                    f"\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body)
                first, fields, answer = await asyncio.wait_for(
                    read_message(reader), ANSWER_SECONDS)
                good = " 200 " in first
                following = good and json.loads(answer).get("heartbeat-address")
                if fields.get("connection") == "close" or (
                        following and following != target):
                    writer.close()
                    connection = None
                if following:
                    endpoint.target = following
            except (OSError, EOFError, asyncio.TimeoutError):
                good = False
                if connection:
                    connection[1].close()
                    connection = None
            if not good:
                endpoint.target = None
                tries += 1
            await asyncio.sleep(HEARTBEAT_SECONDS if good else RETRY_SECONDS)
