"""A TCP relay between two processes that a test can cut."""

import select
import socket
import threading


class CuttableLink:
    """Listens on `address` and relays to `target` until it is cut. While cut,
    connections are closed and new ones refused. A context manager."""

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.is_cut = False
        self.is_closed = False
        self.pairs = set()
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self._accept, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *unused):
        self.is_closed = True
        self.cut()
        self.listener.close()
        self.thread.join()

    def cut(self):
        self.is_cut = True
        with self.lock:
            pairs, self.pairs = self.pairs, set()
        for pair in pairs:
            for end in pair:
                end.close()

    def heal(self):
        self.is_cut = False

    def _accept(self):
        while not self.is_closed:
            if not select.select([self.listener], [], [], 0.05)[0]:
                continue
            near, _ = self.listener.accept()
            try:
                if self.is_cut:
                    raise OSError
                far = socket.create_connection(self.target, 1)
            except OSError:
                near.close()
                continue
            with self.lock:
                self.pairs.add((near, far))
            threading.Thread(target=self._relay, args=(near, far),
                             daemon=True).start()

    def _relay(self, near, far):
        other = {near: far, far: near}
        try:
            while True:
                readable = select.select([near, far], [], [], 1)[0]
                for end in readable:
                    data = end.recv(65536)
                    if not data:
                        return
                    other[end].sendall(data)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.pairs.discard((near, far))
            near.close()
            far.close()
