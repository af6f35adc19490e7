"""A TCP relay between two processes that can silently lose bytes."""

import selectors
import socket
import threading
import time


class Relay:
    """Listens on a port of its own and passes bytes on to `target`.

    cut("both") loses the bytes of both directions, cut("up") those towards the
    target, cut("down") those from it; connections stay open, as behind a
    network partition. heal() breaks them, so that the ends connect again.
    reset() only breaks them; `delay` holds each piece back for some seconds.
    """

    def __init__(self, target):
        self.target = target
        self.lost = set()
        self.delay = 0
        self.pairs = {}
        self.selector = selectors.DefaultSelector()
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(100)
        self.port = self.listener.getsockname()[1]
        self.selector.register(self.listener, selectors.EVENT_READ, "accept")
        self.lock = threading.Lock()
        self.running = True
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def cut(self, direction):
        self.lost = {"up", "down"} if direction == "both" else {direction}

    def heal(self):
        self.lost = set()
        self.delay = 0
        self.reset()

    def reset(self):
        with self.lock:
            for sock in list(self.pairs):
                self._close(sock)

    def close(self):
        self.running = False
        self.thread.join(2)
        for sock in list(self.pairs):
            self._close(sock)
        self.listener.close()

    def _close(self, sock):
        other = self.pairs.pop(sock, (None, None))[0]
        for s in (sock, other):
            if s is None:
                continue
            self.pairs.pop(s, None)
            try:
                self.selector.unregister(s)
            except (KeyError, ValueError):
                pass
            s.close()

    def _accept(self):
        near, _ = self.listener.accept()
        try:
            far = socket.create_connection(("127.0.0.1", self.target), timeout=1)
        except OSError:
            near.close()
            return
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.pairs[near] = (far, "up")
        self.pairs[far] = (near, "down")
        self.selector.register(near, selectors.EVENT_READ, "data")
        self.selector.register(far, selectors.EVENT_READ, "data")

    def _pass_on(self, sock):
        other, direction = self.pairs[sock]
        try:
            data = sock.recv(65536)
            if not data:
                self._close(sock)
            elif direction not in self.lost:
                time.sleep(self.delay)
                other.sendall(data)
        except OSError:
            self._close(sock)

    def _run(self):
        while self.running:
            for key, _ in self.selector.select(0.05):
                with self.lock:
                    if key.data == "accept":
                        self._accept()
                    elif key.fileobj in self.pairs:
                        self._pass_on(key.fileobj)
