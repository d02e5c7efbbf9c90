"""A TCP hop before each process, on which machines can be cut off.

Bytes that are under way when a cut begins arrive after it, as TCP sends them again
after pauses that double, also if their sender has closed the connection meanwhile.
"""

import asyncio
import time

FIRST_RETRANSMISSION_S = 0.2
CHUNK_BYTES = 1 << 20


def retransmitted_at(sent_at, path_is_back_at):
    """When TCP sends bytes again for the first time after `path_is_back_at`."""
    pause, at = FIRST_RETRANSMISSION_S, sent_at
    while at < path_is_back_at:
        at += pause
        pause *= 2
    return at


class Relay:
    """Listens at the addresses by which processes know each other."""

    def __init__(self, network, relay_network):
        self.network = network.encode()
        self.relay_network = relay_network.encode()
        self.cut_machines = {}  # Their names, by address.
        self.healed = asyncio.Event()
        self.servers = []
        self.tasks = set()

    def translate(self, content):
        """Has processes call each other through this hop."""
        return content.replace(self.network + b".", self.relay_network + b".")

    async def listen(self, ip, port):
        async def serve(reader, writer):
            await self._serve(reader, writer, ip, port)

        outer_ip = self.translate(ip.encode()).decode()
        self.servers.append(await asyncio.start_server(serve, outer_ip, port))

    def cut(self, programs):
        self.cut_machines = {it.ip: it.name.encode() for it in programs}
        self.healed.clear()

    def heal(self):
        self.cut_machines = {}
        self.healed.set()

    def stop(self):
        for it in self.servers:
            it.close()
        for it in list(self.tasks):
            it.cancel()

    async def _serve(self, reader, writer, ip, port):
        if ip in self.cut_machines:
            # The opening packet is lost; its sender gives up.
            await reader.read(CHUNK_BYTES)
            writer.close()
            return
        try:
            peer_reader, peer_writer = await asyncio.open_connection(ip, port)
        except OSError:
            writer.transport.abort()
            return
        for source, sink in ((reader, peer_writer), (peer_reader, writer)):
            task = asyncio.ensure_future(self._pass_on(source, sink, ip))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pass_on(self, source, sink, ip):
        try:
            while content := await source.read(CHUNK_BYTES):
                sent_at = time.monotonic()
                # Each report names the machine that sends it.
                if ip in self.cut_machines or any(
                        it in content for it in self.cut_machines.values()):
                    await self.healed.wait()
                    at = retransmitted_at(sent_at, time.monotonic())
                    await asyncio.sleep(max(0, at - time.monotonic()))
                sink.write(self.translate(content))
                await sink.drain()
        except OSError:
            pass
        finally:
            sink.close()
