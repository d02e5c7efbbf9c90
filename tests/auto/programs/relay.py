"""A TCP relay on loopback that counts bytes and can part its two sides."""

import socket
import threading


class Relay(threading.Thread):
    """Passes bytes to `target`. While parted, what is on its way waits, and
    connections that begin are cut when the parting ends."""

    def __init__(self, target):
        super().__init__(daemon=True)
        self.target = target
        self.count = 0
        self.passes = threading.Event()
        self.passes.set()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]

    def part(self):
        self.passes.clear()

    def heal(self):
        self.passes.set()

    def close(self):
        self.passes.set()
        self.server.close()

    def run(self):
        while True:
            try:
                near, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.begin, args=(near,),
                             daemon=True).start()

    def begin(self, near):
        if not self.passes.is_set():
            self.passes.wait()
            near.close()
            return
        host, port = self.target.split(":")
        try:
            far = socket.create_connection((host, int(port)))
        except OSError:
            near.close()
            return
        with near, far:
            back = threading.Thread(target=self.pump, args=(far, near),
                                    daemon=True)
            back.start()
            self.pump(near, far)
            back.join()

    def pump(self, source, sink):
        try:
            while data := source.recv(65536):
                self.passes.wait()
                self.count += len(data)
                sink.sendall(data)
        except OSError:
            pass
        finally:
            for peer in (source, sink):
                try:
                    peer.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
