"""Stand-in of the users' log store: keyed partitions over HTTP.

It keeps to the published protocol and is as unkind as that allows: it refuses nodes,
forgets history, and a page holds as many whole records as fit, but at least one.
"""

from __future__ import annotations

import asyncio
import base64
import struct
from enum import Enum

from standins.http import Answer, Close, Hang, Peer, Request, Response, Server
from standins.http import json_response as _json

__all__ = ["LogStore", "Refusal"]

APPEND_S = 0.004
"""Time for an append or a reading."""

BYTES_PER_S = 20e6
"""Rate at which a partition takes records."""

NEWEST_ITEMS = 500
NEWEST_BYTES = 1 << 20
"""Most items and bytes of one page of newest records."""

READ_ONLY = frozenset(("keyed.op", "keyed.servers"))
"""Topics that only operators and endpoints write."""


class Refusal(Enum):
    """How the store turns a node away."""

    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"


class _Partition:
    """Records of one partition; those before ``first`` are forgotten."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.first = 0
        self.epochs: dict[str, int] = {}
        self.sequences: dict[str, int] = {}
        self.answers: dict[tuple[str, int, int], dict[str, int]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return len(self.records)

    def append(self, rows: list[tuple[str, bytes]]) -> dict[str, int]:
        offset = self.end
        self.records += rows
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": offset, "end_offset": self.end}

    def newest(self) -> dict[str, tuple[bytes, int]]:
        found = {}
        for offset, (key, value) in enumerate(self.records):
            found[key] = (value, offset)
        return {key: row for key, row in sorted(found.items()) if row[0]}


class LogStore:
    """The store, reached by each node on its own terms.

    ``refused`` says by a node's address how it is turned away.
    """

    def __init__(self) -> None:
        """Hold nothing."""
        self.refused: dict[str, Refusal] = {}
        self.served_bytes = 0
        self._partitions: dict[tuple[str, str], _Partition] = {}
        self._server = Server(self._handle)

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await self._server.start(host, port)

    def write(self, topic: str, key: str, value: bytes) -> int:
        """Write a record as an operator does.

        :returns: its offset
        """
        return self._partition(topic, "0").append([(key, value)])["offset"]

    def end_offset(self, topic: str) -> int:
        """Return the number of records that a topic has had."""
        return self._partition(topic, "0").end

    def compact(self, topic: str) -> None:
        """Drop all records of a topic but the newest of each key."""
        for (name, _), partition in self._partitions.items():
            if name == topic:
                partition.first = partition.end

    def refuse(self, host: str, how: Refusal) -> None:
        """Turn a node away, on its open connections too."""
        self.refused[host] = how
        if how is Refusal.RESET:
            for peer in self._server.peers:
                if _host(peer) == host:
                    peer.writer.transport.abort()

    def _partition(self, topic: str, part: str) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    async def _handle(self, request: Request, peer: Peer) -> Answer:
        await asyncio.sleep(APPEND_S)
        how = self.refused.get(_host(peer))
        if how is Refusal.SILENT:
            return Hang()
        if how is Refusal.RESET:
            return Close()
        if how is not None:
            return Response(503 if how is Refusal.BUSY else 429)
        topic = request.query.get("topic", "")
        partition = self._partition(topic, request.query.get("part", "0"))
        call = (request.method, request.path)
        if call == ("POST", "/log-append") and topic not in READ_ONLY:
            answer = await self._append(partition, request)
        elif call == ("GET", "/log-read"):
            answer = await self._read(partition, request)
        elif call == ("GET", "/log-newest"):
            answer = _newest(partition, request.query.get("after", ""))
        else:
            answer = Response(403)
        if _host(peer) in self.refused:
            return Close()
        self.served_bytes += len(answer.body)
        return answer

    async def _append(self, partition: _Partition, request: Request) -> Response:
        producer = request.query.get("producer", "")
        epoch = int(request.query.get("epoch", 0))
        sequence = int(request.query.get("sequence", 0))
        if producer:
            seen = partition.epochs.get(producer, 0)
            if epoch < seen:
                return _json({"reason": "fenced"}, 409)
            done = partition.answers.get((producer, epoch, sequence))
            if done is not None:
                return _json(done)
            expected = partition.sequences.get(producer, -1) + 1
            if epoch == seen and sequence != expected:
                return _json({"reason": "seq", "sequence": expected}, 409)
            partition.epochs[producer] = epoch
            partition.sequences[producer] = sequence
        await asyncio.sleep(len(request.body) / BYTES_PER_S)
        answer = partition.append(_rows(request.body))
        partition.answers[producer, epoch, sequence] = answer
        return _json(answer)

    async def _read(self, partition: _Partition, request: Request) -> Response:
        offset = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        most = int(request.query.get("maximum_kilobytes", 1024)) * 1024
        try:
            async with asyncio.timeout(wait_s):
                while partition.end <= offset:
                    await partition.changed.wait()
        except TimeoutError:
            pass
        if offset < partition.first:
            return _json({"first_offset": partition.first}, 410)
        body = struct.pack(">QQ", partition.end, partition.first)
        size = 0
        for key, value in partition.records[offset:]:
            frame = _frame(key, value)
            if size and size + len(frame) > most:
                break
            size += len(frame)
            body += frame
        return Response(200, body)


def _host(peer: Peer) -> str:
    host: str = peer.writer.get_extra_info("peername")[0]
    return host


def _frame(key: str, value: bytes) -> bytes:
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


def _rows(body: bytes) -> list[tuple[str, bytes]]:
    """Return the keys and values of an append."""
    rows = []
    at = 0
    while at < len(body):
        (size,) = struct.unpack_from(">I", body, at)
        content = body[at + 4 : at + 4 + size]
        key_end = 1 + content[0]
        rows.append((content[1:key_end].decode(), content[key_end:]))
        at += 4 + size
    return rows


def _newest(partition: _Partition, after: str) -> Response:
    rows = [row for row in partition.newest().items() if row[0] > after]
    items: list[dict[str, object]] = []
    size = 0
    for key, (value, offset) in rows[:NEWEST_ITEMS]:
        text = base64.b64encode(value).decode()
        if items and size + len(text) > NEWEST_BYTES:
            break
        size += len(text)
        items.append({"key": key, "value": text, "offset": offset})
    more = len(items) < len(rows)
    return _json({"items": items, "has_more": more, "end_offset": partition.end})
