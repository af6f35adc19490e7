"""A TCP relay between two processes that can silently drop bytes."""

import selectors
import socket
import threading
import time


class Relay:
    """Listens on a port of its own and forwards connections to `target`.

    cut("both") drops the bytes of both directions, cut("up") those towards the
    target, cut("down") those from it; connections stay open, as in a network
    partition. heal() ends a cut and a delay, and closes the connections so that
    both ends reconnect. reset() only closes the connections. `delay` is the
    time in seconds by which each received chunk is delayed.
    """

    def __init__(self, target):
        self.target = target
        self.dropped = set()
        self.delay = 0
        self.peers = {}
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
        self.dropped = {"up", "down"} if direction == "both" else {direction}

    def heal(self):
        self.dropped = set()
        self.delay = 0
        self.reset()

    def reset(self):
        with self.lock:
            for sock in list(self.peers):
                self._close(sock)

    def close(self):
        self.running = False
        self.thread.join(2)
        for sock in list(self.peers):
            self._close(sock)
        self.listener.close()

    def _close(self, sock):
        other = self.peers.pop(sock, (None, None))[0]
        for s in (sock, other):
            if s is None:
                continue
            self.peers.pop(s, None)
            try:
                self.selector.unregister(s)
            except (KeyError, ValueError):
                pass
            s.close()

    def _accept(self):
        client, _ = self.listener.accept()
        try:
            server = socket.create_connection(("127.0.0.1", self.target),
                                              timeout=1)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.peers[client] = (server, "up")
        self.peers[server] = (client, "down")
        self.selector.register(client, selectors.EVENT_READ, "data")
        self.selector.register(server, selectors.EVENT_READ, "data")

    def _forward(self, sock):
        other, direction = self.peers[sock]
        try:
            data = sock.recv(65536)
            if not data:
                self._close(sock)
            elif direction not in self.dropped:
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
                    elif key.fileobj in self.peers:
                        self._forward(key.fileobj)
