"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
import urllib.parse


class Drop(Exception):
    """Raised by a handler to close the connection without an answer."""


class Reset(Exception):
    """Raised by a handler to reset the connection."""


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def _read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """Calls `handler(request)`, which returns (status, body bytes or JSON)."""

    def __init__(self, ip, port, handler):
        self.ip = ip
        self.port = port
        self.handler = handler
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 22, backlog=512)

    def stop(self):
        """Stops listening and resets all connections, like a killed process."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def cut_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await _read_message(reader)
                method, target, _ = line.split(" ", 2)
                status, answer = await self.handler(
                    Request(method, target, headers, body))
                content_type = "application/octet-stream"
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                    content_type = "application/json"
                writer.write((f"HTTP/1.1 {status} Status\r\n"
                              f"Content-Type: {content_type}\r\n"
                              f"Content-Length: {len(answer)}\r\n\r\n").encode()
                             + answer)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except Reset:
            writer.transport.abort()
        except (Drop, asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a connection of its own.

    Returns (status, body bytes), or (None, reason) without an answer.
    """
    ip, port = address.rsplit(":", 1)
    content = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1",
             f"Content-Length: {len(content)}",
             "Content-Type: application/json",
             "Connection: close"]
    names = {"host"} & {name.lower() for name in headers or {}}
    if not names:
        lines.append(f"Host: {address}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
        await writer.drain()
        line, _, answer = await _read_message(reader)
        return int(line.split(" ")[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "timeout"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, type(error).__name__
    finally:
        if writer is not None:
            writer.close()
