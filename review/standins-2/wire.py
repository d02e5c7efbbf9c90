"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        path, _, query = target.partition("?")
        self.method = method
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def _read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin-1").strip(), headers, body


class Server:
    """Passes requests to `handle`, which returns a status and a body."""

    def __init__(self, address, handle):
        self.host, port = address.split(":")
        self.port = int(port)
        self.handle = handle
        self.writers = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True, limit=1 << 22)

    def close(self):
        """Closes the listener and resets all connections, as a crash does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await _read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                status, answer = await self.handle(
                    Request(method, target, headers, body))
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Returns the status and the body of the answer; (0, b"") without one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(data)}",
                     "content-type: application/json"]
            lines += [f"{name}: {value}" for name, value in
                      ({"host": address} | (headers or {})).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            message = await _read_message(reader)
            if message is None:
                return 0, b""
            return int(message[0].split(" ")[1]), message[2]
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, b""
    finally:
        if writer:
            writer.transport.abort()
