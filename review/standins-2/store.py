"""A stand-in for the platform's metadata store: logs of keyed records."""

import asyncio
import base64
import bisect
import collections
import itertools
import json
import struct

import wire

ANSWER_S = 0.004
MAX_RECORD_BYTES = 262144
MAX_REQUEST_BYTES = 2097152
MAX_ITEMS = 500
MAX_PAGE_BYTES = 1 << 20


class Topic:
    def __init__(self):
        self.records = []  # The content of each: key and value.
        self.newest = {}  # Value and offset by key.
        self.keys = None  # In their order; None since one was added or dropped.
        self.writers = {}  # Epoch, last sequence number and last answers.
        self.changed = asyncio.Condition()
        self.turn = asyncio.Lock()

    async def add(self, contents):
        for content in contents:
            key, value = content[1:1 + content[0]], content[1 + content[0]:]
            if bool(value) != (key in self.newest):
                self.keys = None
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        async with self.changed:
            self.changed.notify_all()


class Store:
    def __init__(self, address):
        self.topics = collections.defaultdict(Topic)
        self.is_busy = False  # Answers all calls with 503.
        self.server = wire.Server(address, self._handle)

    async def open(self):
        await self.server.open()

    async def put(self, topic, key, value):
        """Writes as the operator does."""
        key = key.encode()
        await self.topics["keyed." + topic].add(
            [bytes([len(key)]) + key + json.dumps(value).encode()])

    async def _handle(self, request):
        await asyncio.sleep(ANSWER_S)
        if self.is_busy:
            return 503, {}
        topic = self.topics[request.query.get("topic", "")]
        if request.path == "/v1/log-append":
            async with topic.turn:
                return await self._append(topic, request)
        if request.path == "/v1/log-read":
            return await self._read(topic, request)
        if request.path == "/v1/log-newest":
            return self._newest(topic, request)
        return 404, {}

    async def _append(self, topic, request):
        if request.query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        writer = request.query.get("producer_id")
        if writer is not None:
            epoch = int(request.query["epoch"])
            sequence = int(request.query["sequence"])
            known = topic.writers.get(writer, (-1, 0, {}))
            if epoch < known[0]:
                return 409, {"reason": "fenced"}
            if epoch == known[0]:
                if sequence in known[2]:
                    return known[2][sequence]
                if sequence != known[1] + 1:
                    return 409, {"reason": "seq", "sequence": known[1] + 1}
        if len(request.body) > MAX_REQUEST_BYTES:
            return 413, {}
        end = len(topic.records)
        if "at" in request.query and int(request.query["at"]) != end:
            return 412, {"end_offset": end}
        contents, at = [], 0
        while at < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, at)
            if length > MAX_RECORD_BYTES:
                return 413, {}
            contents.append(request.body[at + 4:at + 4 + length])
            at += 4 + length
        await topic.add(contents)
        answer = 200, {"offset": end, "end_offset": len(topic.records)}
        if writer is not None:
            answers = known[2] if epoch == known[0] else {}
            answers = dict(list(answers.items())[-4:]) | {sequence: answer}
            topic.writers[writer] = (epoch, sequence, answers)
        return answer

    async def _read(self, topic, request):
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= len(topic.records) and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s), topic.changed:
                    await topic.changed.wait_for(
                        lambda: start < len(topic.records))
            except TimeoutError:
                pass
        out = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for content in itertools.islice(topic.records, start, None):
            size += 4 + len(content)
            if size > MAX_PAGE_BYTES:
                break
            out.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(out)

    def _newest(self, topic, request):
        after = request.query.get("depends_on", "").encode()
        items, size, has_more = [], 0, False
        if topic.keys is None:
            topic.keys = sorted(topic.newest)
        first = bisect.bisect_right(topic.keys, after)
        for key in itertools.islice(topic.keys, first, None):
            value, offset = topic.newest[key]
            size += len(key) + len(value)
            if len(items) == MAX_ITEMS or size > MAX_PAGE_BYTES:
                has_more = True
                break
            items.append({"key": key.decode("latin-1"), "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return 200, {"items": items, "has_more": has_more,
                     "end_offset": len(topic.records)}
