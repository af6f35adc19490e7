"""Constant request load for the process tests."""

import http.client
import itertools
import threading
import time


class Load:
    """Threads that send requests back to back and record each outcome.

    Like a caller behind the platform's load balancer, a thread tries the next
    entry when a connection is refused; a refused connection never runs the
    request. Outcomes are "answered", "wrong answer", "no entry",
    "disconnected: ERROR", or the status and outcome header of a refusal.
    """

    def __init__(self, fleet, queue, key, threads=8, method="GET", ms=5,
                 headers=None, pause=0.0, name=None):
        self.fleet = fleet
        self.queue = queue
        self.key = key
        self.method = method
        self.name = name or method
        self.ms = ms
        self.headers = headers or {}
        self.pause = pause
        self.numbers = itertools.count()
        self.outcomes = {}
        self.latencies = []
        self.running = True
        self.threads = [threading.Thread(target=self._run, args=(i,), daemon=True)
                        for i in range(threads)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join(90)

    def count(self, outcome):
        return sum(1 for o in self.outcomes.values() if o == outcome)

    def _entries(self):
        return [p for n, p in self.fleet.public_ports.items()
                if n.startswith("entry")]

    def _run(self, thread):
        first_entry = thread
        while self.running:
            request = f"{self.name}-{next(self.numbers)}"
            began = time.monotonic()
            self.outcomes[request] = self._send(request, first_entry)
            self.latencies.append(time.monotonic() - began)
            first_entry += 1
            if self.pause:
                time.sleep(self.pause)

    def _send(self, request, first_entry):
        entries = self._entries()
        headers = {"authorization": "Bearer " + self.key, **self.headers}
        path = f"/q/{self.queue}/work?id={request}&ms={self.ms}"
        for attempt in range(200):
            port = entries[(first_entry + attempt) % len(entries)]
            conn = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
            try:
                conn.connect()
            except OSError:
                conn.close()
                time.sleep(0.01)
                continue
            return self._exchange(conn, path, headers, request)
        return "no entry"

    def _exchange(self, conn, path, headers, request):
        try:
            body = b"" if self.method == "POST" else None
            conn.request(self.method, path, body, headers)
            answer = conn.getresponse()
            text = answer.read()
        except (OSError, http.client.HTTPException) as e:
            return f"disconnected: {type(e).__name__}"
        finally:
            conn.close()
        if answer.status == 200:
            correct = text == f"done {request}\n".encode()
            return "answered" if correct else "wrong answer"
        outcome = answer.getheader("almondgate-outcome")
        return f"{answer.status} {outcome}"
