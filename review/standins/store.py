"""A stand-in for the platform's store: a log with keyed topics, as in PROTOCOL."""

import asyncio
import base64
import struct

import http_peer

MAX_RECORD_BYTES = 262144
MAX_REQUEST_BYTES = 2097152
ITEMS_PER_PAGE = 500
PAGE_BYTES = 1 << 20
REMEMBERED_APPENDS = 5


class Topic:
    def __init__(self):
        self.records = {}  # By offset.
        self.start = 0  # First offset that is retained.
        self.end = 0
        self.newest = {}  # Key to (value, offset).
        self.producers = {}  # Id to [epoch, last sequence, last responses].
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def append(self, records):
        first = self.end
        for record in records:
            self.records[self.end] = record
            key_size = record[0]
            key, value = record[1:1 + key_size], record[1 + key_size:]
            if value:
                self.newest[key] = (value, self.end)
            else:
                self.newest.pop(key, None)
            self.end += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return first

    def drop_history(self):
        self.records.clear()
        self.start = self.end


class Store:
    def __init__(self, ip, port, append_s=0.002, answer_s=0.002):
        self.server = http_peer.Server(ip, port, self.handle)
        self.topics = {}
        self.append_s = append_s
        self.answer_s = answer_s
        self.is_down = False  # All connections are reset, and nothing is done.
        self.quiet_watches = asyncio.Event()
        self.quiet_watches.set()  # Cleared: waiting reads hear nothing.
        self.rejected_appends = []  # (topic, bytes, largest record)

    @property
    def address(self):
        return self.server.address

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put_keyed(self, topic, key, value):
        """Appends a record of the operator."""
        record = bytes([len(key)]) + key.encode() + value
        self.topic("keyed." + topic).append([record])

    def forget_history(self):
        """Drops the history of all topics and cuts those that watch them."""
        for topic in self.topics.values():
            topic.drop_history()
        self.server.cut_connections()

    async def handle(self, request):
        await asyncio.sleep(self.answer_s)
        if self.is_down:
            raise http_peer.Reset()
        name = request.path.rsplit("/", 1)[-1]
        topic = self.topic(request.query.get("topic", ""))
        if name == "log-append":
            return await self.append(topic, request)
        if name == "log-read":
            return await self.read(topic, request)
        if name == "log-newest":
            return self.read_newest(topic, request)
        return 404, {}

    async def append(self, topic, request):
        body, records, position = request.body, [], 0
        while position < len(body):
            size = struct.unpack_from(">I", body, position)[0]
            records.append(body[position + 4:position + 4 + size])
            position += 4 + size
        largest = max((len(it) for it in records), default=0)
        is_too_large = len(body) > MAX_REQUEST_BYTES or largest > MAX_RECORD_BYTES
        query = request.query
        async with topic.lock:
            await asyncio.sleep(self.append_s)
            producer = query.get("producer_id")
            epoch, sequence = int(query.get("epoch", 0)), int(query.get("sequence", 0))
            if producer is not None:
                known = topic.producers.get(producer)
                if known is not None and epoch < known[0]:
                    return 409, {"reason": "fenced"}
                if known is not None and epoch == known[0]:
                    if sequence in known[2]:
                        return known[2][sequence]
                    if sequence != known[1] + 1:
                        return 409, {"reason": "seq", "sequence": known[1] + 1}
            if "at" in query and int(query["at"]) != topic.end:
                return 412, {"end_offset": topic.end}
            if is_too_large:
                self.rejected_appends.append((query["topic"], len(body), largest))
                return 413, {"reason": "size"}
            first = topic.append(records)
            answer = 200, {"offset": first, "end_offset": topic.end}
            if producer is not None:
                kept = {}
                if known is not None and epoch == known[0]:
                    kept = dict(list(known[2].items())[-REMEMBERED_APPENDS + 1:])
                kept[sequence] = answer
                topic.producers[producer] = [epoch, sequence, kept]
            return answer

    async def read(self, topic, request):
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        if start < topic.start:
            return 410, {"start_offset": topic.start}
        if wait_s > 0:
            until = asyncio.get_running_loop().time() + wait_s
            while start >= topic.end or not self.quiet_watches.is_set():
                is_quiet = not self.quiet_watches.is_set()
                left = until - asyncio.get_running_loop().time()
                if is_quiet:
                    # A watch hears nothing until it is cut.
                    await self.quiet_watches.wait()
                    raise http_peer.Drop()
                if left <= 0:
                    break
                news = asyncio.ensure_future(topic.changed.wait())
                await asyncio.wait([news], timeout=left)
                news.cancel()
            if start < topic.start:
                return 410, {"start_offset": topic.start}
        content = [struct.pack(">QQ", topic.end, topic.start)]
        size = 0
        limit = int(request.query.get("max_kb", 1024)) * 1024
        for offset in range(start, topic.end):
            record = topic.records[offset]
            size += 4 + len(record)
            if size > limit and len(content) > 1:
                break
            content.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(content)

    def read_newest(self, topic, request):
        after = request.query.get("depends_on", "").encode()
        items, size, has_more = [], 0, False
        for key in sorted(key for key in topic.newest if key > after):
            value, offset = topic.newest[key]
            if len(items) == ITEMS_PER_PAGE or (items and size + len(value) > PAGE_BYTES):
                has_more = True
                break
            size += len(value)
            items.append({"key": key.decode(), "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return 200, {"items": items, "has_more": has_more, "end_offset": topic.end}
