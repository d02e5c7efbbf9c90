"""A TCP hop before a backend server that cuts connections, delays or repeats
answers, and counts connections and requests."""

import enum
import socket
import threading
import time


class Cut(enum.Enum):
    NEVER = "never"
    BEFORE_BODY = "before the body of the request"
    DURING_BODY = "during the body of the request"
    AFTER_BODY = "after the body of the request, before the answer"
    DURING_ANSWER = "during the answer"
    AFTER_ANSWER = "after the answer"


class CuttingProxy:
    """Stands before `target`. A context manager."""

    def __init__(self, target):
        self.target = target
        self.cut = Cut.NEVER
        self.answer_delay = 0.0
        self.repeats_answers = False
        self.connections = 0
        self.requests = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]

    def __enter__(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *unused):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(connection,),
                             daemon=True).start()

    def _serve(self, caller):
        caller.settimeout(20)
        with caller:
            try:
                while self._pass_one(caller):
                    pass
            except OSError:
                return

    def _pass_one(self, caller):
        """Returns whether the connection may serve one more."""
        head, body = read_head(caller)
        if not head:
            return False
        self.requests += 1
        cut = self.cut
        if cut == Cut.BEFORE_BODY:
            return False
        host, port = self.target.split(":")
        with socket.create_connection((host, int(port)), 20) as backend:
            length = length_in(head)
            if cut == Cut.DURING_BODY:
                backend.sendall(head + body[:length // 2])
                return False
            body = read_rest(caller, body, length)
            backend.sendall(head + body)
            if cut == Cut.AFTER_BODY:
                # It has arrived: the connection stays until it has an answer.
                read_head(backend)
                return False
            answer_head, answer = read_head(backend)
            answer = read_rest(backend, answer, length_in(answer_head))
        time.sleep(self.answer_delay)
        if cut == Cut.DURING_ANSWER:
            caller.sendall(answer_head + answer[:len(answer) // 2])
            return False
        whole = answer_head + answer
        caller.sendall(whole + whole if self.repeats_answers else whole)
        return cut != Cut.AFTER_ANSWER


def read_head(connection):
    """Returns the head with its empty line, and what came after it."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return b"", b""
        data += more
    end = data.index(b"\r\n\r\n") + 4
    return data[:end], data[end:]


def read_rest(connection, body, length):
    while len(body) < length:
        more = connection.recv(65536)
        if not more:
            break
        body += more
    return body


def length_in(head):
    for line in head.decode(errors="replace").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            return int(value)
    return 0
