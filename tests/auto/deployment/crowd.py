"""Clients that send without end, or hold what they began, in bounded amounts."""

import asyncio
import random

CONNECTIONS = 8  # Of clients that send without end.
BYTES_EACH = 16 << 20  # All that such a client sends at most.
HOLDERS = 400  # Connections that each hold a request.
HELD_BYTES = 250_000  # Of a body of ANNOUNCED_BYTES, below the operator's limit.
ANNOUNCED_BYTES = 262_000
TRICKLED_BYTES = 5
PIECE_BYTES = 64 << 10
# Ends a crowd that the server neither reads nor closes; no check depends on it.
LONGEST_CROWD_S = 20

CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
ANNOUNCED = (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
             % ANNOUNCED_BYTES)


def _lines(chance):
    """Header fields with random names, about PIECE_BYTES."""
    return b"".join(b"x-%08x: %s\r\n" % (chance.getrandbits(32), b"v" * 100)
                    for _ in range(PIECE_BYTES // 114))


def _text(chance):
    return bytes(chance.choices(b"abcdefgh", k=PIECE_BYTES))


# Name to what comes first and what is then repeated.
ENDLESS = {
    "trailers": (CHUNKED + b"0\r\n", _lines),
    "trailer_line": (CHUNKED + b"0\r\nx-long: ", _text),
    "chunk_extensions": (CHUNKED + b"1;x=", _text),
    "header": (b"GET / HTTP/1.1\r\nHost: h\r\n", _lines),
    "header_line": (b"GET / HTTP/1.1\r\nx-long: ", _text),
    "request_line": (b"GET /", _text),
}
# Name to what comes first and how many times one more byte follows.
HELD = {
    "held_bodies": (ANNOUNCED + b"b" * HELD_BYTES, 0),
    "held_headers": (b"GET / HTTP/1.1\r\nHost: h\r\n", 0),
    "trickled_bodies": (ANNOUNCED, TRICKLED_BYTES),
}
INPUTS = [*ENDLESS, *HELD]


class Crowd:
    """Keeps its connections open until it is closed."""

    def __init__(self, address, seed):
        self.ip, port = address.rsplit(":", 1)
        self.port = int(port)
        self.chance = random.Random(seed)
        self.writers = []

    async def send(self, name):
        """Returns when all has been sent, or the server has closed."""
        if name in ENDLESS:
            first, piece = ENDLESS[name]
            content = piece(self.chance)
            pieces = [first] + [content] * (BYTES_EACH // len(content))
            clients = [pieces] * CONNECTIONS
        else:
            first, more = HELD[name]
            clients = [[first] + [b"b"] * more] * HOLDERS
        tasks = [asyncio.ensure_future(self._client(it)) for it in clients]
        _, late = await asyncio.wait(tasks, timeout=LONGEST_CROWD_S)
        for it in late:
            it.cancel()

    async def _client(self, pieces):
        try:
            _, writer = await asyncio.open_connection(self.ip, self.port)
            self.writers.append(writer)
            for it in pieces:
                writer.write(it)
                await writer.drain()
        except OSError:
            pass  # The server may refuse or close.

    def close(self):
        for it in self.writers:
            it.transport.abort()


def memory_bytes(pid, key):
    """Resident memory of a process, by a key of its status: VmRSS or VmHWM."""
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith(key + ":"):
                return int(line.split()[1]) << 10
    raise ValueError(f"no {key} of process {pid}")
