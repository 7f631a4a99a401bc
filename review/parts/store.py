"""Stand-in for the platform's store (PROTOCOL, "The platform's metadata store").

It serves appends, reads and the newest records of keyed topics. Its answers take 4 ms.
"""

from __future__ import annotations

import asyncio
import base64
import struct
import time

from parts.http import Answer, Request, Server, json_answer

__all__ = ["Store"]

ANSWER_S = 0.004
READ_ONLY = ("keyed.op", "keyed.servers")
MAX_ITEMS = 500
RECORD_BYTES = 262144
CALL_BYTES = 2097152


class Partition:
    """Records of one partition; those before ``first`` have been deleted."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[tuple[str, bytes]] = []
        self.times: list[float] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.first = 0
        self.epoch: dict[str, int] = {}
        self.sequence: dict[str, int] = {}
        self.results: dict[tuple[str, int, int], dict[str, int]] = {}
        self.grown = asyncio.Event()

    def append(self, rows: list[tuple[str, bytes]]) -> dict[str, int]:
        """Append records."""
        offset = len(self.records)
        for key, value in rows:
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append((key, value))
            self.times.append(time.monotonic())
        self.grown.set()
        self.grown = asyncio.Event()
        return {"offset": offset, "end_offset": len(self.records)}

    def expire(self, keep_s: float) -> None:
        """Delete the records that are older than ``keep_s``."""
        limit = time.monotonic() - keep_s
        while self.first < len(self.times) and self.times[self.first] < limit:
            self.first += 1


class Store:
    """The store; ``last_conditional`` is the newest value written with an epoch."""

    def __init__(self, keep_s: float) -> None:
        """Start empty."""
        self.keep_s = keep_s
        self.answer_s = ANSWER_S
        self.refused_as_too_large = 0
        self._forgetting: set[str] = set()
        self.partitions: dict[str, Partition] = {}
        self.server = Server(self._handle)

    def partition(self, topic: str) -> Partition:
        """Return partition 0 of a topic, created on first use."""
        return self.partitions.setdefault(topic, Partition())

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record for the operator or a worker."""
        self.partition(topic).append([(key, value)])

    async def forget_history(self, topic: str, silent_s: float = 1.0) -> None:
        """Forget a topic's history (`platform_compact`).

        Reads hear nothing for a time while changes are made; then the history is
        dropped, but for the newest record of each key, and the reads are cut.
        """
        self._forgetting.add(topic)
        await asyncio.sleep(silent_s)
        partition = self.partition(topic)
        partition.first = len(partition.records)
        self._forgetting.discard(topic)

    def term(self) -> bytes:
        """Return the newest record that the holder of the term wrote as a claim."""
        return self.partition("keyed.jobs").newest.get("term", (b"", 0))[0]

    async def _handle(self, request: Request) -> Answer:
        await asyncio.sleep(self.answer_s)
        topic = request.query.get("topic", "")
        partition = self.partition(topic)
        partition.expire(self.keep_s)
        if request.path == "/log-append":
            if topic in READ_ONLY:
                return Answer(403)
            return self._append(partition, request)
        if request.path == "/log-read":
            return await self._read(partition, request)
        if request.path == "/log-newest":
            return self._newest(partition, request.query.get("after", ""))
        return Answer(400)

    def _append(self, partition: Partition, request: Request) -> Answer:
        rows = _decode_rows(request.body)
        too_large = any(1 + len(k) + len(v) > RECORD_BYTES for k, v in rows)
        if too_large or len(request.body) > CALL_BYTES:
            self.refused_as_too_large += 1
            return Answer(400)
        producer = request.query.get("producer")
        key = None
        if producer is not None:
            epoch = int(request.query.get("epoch", 0))
            sequence = int(request.query.get("sequence", 0))
            key = (producer, epoch, sequence)
            newest = partition.epoch.get(producer, 0)
            if epoch < newest:
                return json_answer(409, {"reason": "fenced"})
            if key in partition.results:
                return json_answer(200, partition.results[key])
            expected = partition.sequence.get(producer, -1) + 1
            if epoch == newest and sequence != expected:
                return json_answer(409, {"reason": "seq", "sequence": expected})
            partition.epoch[producer] = epoch
            partition.sequence[producer] = sequence
        result = partition.append(rows)
        if key is not None:
            partition.results[key] = result
        return json_answer(200, result)

    async def _read(self, partition: Partition, request: Request) -> Answer:
        offset = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        most = int(request.query.get("maximum_kilobytes", 1024)) * 1024
        topic = request.query["topic"]
        if topic in self._forgetting:
            while topic in self._forgetting:
                await asyncio.sleep(0.005)
            return Answer(0)
        if offset < partition.first:
            return json_answer(410, {"first_offset": partition.first})
        try:
            async with asyncio.timeout(wait_s):
                while len(partition.records) <= offset:
                    await partition.grown.wait()
        except TimeoutError:
            pass
        body = [struct.pack(">QQ", len(partition.records), partition.first)]
        size = 0
        for key, value in partition.records[offset:]:
            content = bytes([len(key)]) + key.encode() + value
            if size and size + len(content) > most:
                break
            size += len(content)
            body.append(struct.pack(">I", len(content)) + content)
        return Answer(200, b"".join(body))

    def _newest(self, partition: Partition, after: str) -> Answer:
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        for key in keys[:MAX_ITEMS]:
            value, offset = partition.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(keys) > MAX_ITEMS
        end = len(partition.records)
        return json_answer(200, {"items": items, "has_more": more, "end_offset": end})


def _decode_rows(body: bytes) -> list[tuple[str, bytes]]:
    """Return the keys and values of an append."""
    rows = []
    position = 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + size]
        end = 1 + content[0]
        rows.append((content[1:end].decode(), content[end:]))
        position += 4 + size
    return rows
