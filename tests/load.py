"""A steady load of callers for the process tests."""

import http.client
import itertools
import threading
import time


class Load:
    """Threads that send one request after another and note each outcome.

    A caller behaves as one behind the platform's balancer: it goes to the next
    entry when a connection is refused, which is never a run.
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
        turn = thread
        while self.running:
            request = f"{self.name}-{next(self.numbers)}"
            began = time.monotonic()
            self.outcomes[request] = self._send(request, turn)
            self.latencies.append(time.monotonic() - began)
            turn += 1
            if self.pause:
                time.sleep(self.pause)

    def _send(self, request, turn):
        entries = self._entries()
        headers = {"authorization": "Bearer " + self.key, **self.headers}
        path = f"/q/{self.queue}/work?id={request}&ms={self.ms}"
        for attempt in range(200):
            port = entries[(turn + attempt) % len(entries)]
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
            return f"cut: {type(e).__name__}"
        finally:
            conn.close()
        if answer.status == 200:
            whole = text == f"done {request}\n".encode()
            return "answered" if whole else "wrong answer"
        outcome = answer.getheader("almondgate-outcome")
        return f"{answer.status} {outcome}"
