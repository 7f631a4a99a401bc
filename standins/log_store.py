"""Stand-in for the users' log store: partitions of keyed records over HTTP.

It follows the published protocol and includes the worst behaviour that the protocol
allows: it refuses nodes, deletes old records, and returns pages with only as many
complete records as fit, but at least one.
"""

from __future__ import annotations

import asyncio
import base64
import struct
from collections import Counter
from collections.abc import Callable
from enum import Enum

from standins.http import Close, HandlerResult, Hang, Peer, Request, Response, Server
from standins.http import json_response as _json

__all__ = ["CALL_BYTES", "RECORD_BYTES", "LogStore", "Refusal"]

REQUEST_S = 0.004
"""Processing time of a request, on top of the transfer time of an append."""

APPEND_BYTES_PER_S = 20e6
"""Rate at which a partition accepts records."""

MAX_NEWEST_ITEMS = 500
MAX_NEWEST_BYTES = 1 << 20
"""Maximum items and bytes in a page of newest records."""

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
"""Maximum bytes of a record, and of all records of an append. The platform does not say
how it refuses a larger one; here the answer is 400."""

READ_ONLY_TOPICS = frozenset(("keyed.op", "keyed.servers"))
"""Topics to which nodes must not append; only operators and endpoints do."""


class Refusal(Enum):
    """How the store refuses a node."""

    BUSY = "busy"
    TOO_MANY_REQUESTS = "many"
    RESET = "reset"
    SILENT = "silent"


class _Partition:
    """Records of one partition; those before ``first_offset`` are deleted."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.first_offset = 0
        self.epochs: dict[str, int] = {}
        self.sequences: dict[str, int] = {}
        self.append_results: dict[tuple[str, int, int], dict[str, int]] = {}
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
        newest = {}
        for offset, (key, value) in enumerate(self.records):
            newest[key] = (value, offset)
        return {key: row for key, row in sorted(newest.items()) if row[0]}


class LogStore:
    """The log store.

    Nodes are told apart by their address, or by the port that was opened for them.

    ``refused`` maps each refused node to the kind of refusal, ``append_delay_s`` maps a
    node to the time after which its appends are carried out, and ``silent_appends``
    names the nodes whose appends are carried out and never answered.
    """

    def __init__(self) -> None:
        """Initialize an empty store that does not listen yet."""
        self.refused: dict[str, Refusal] = {}
        self.append_delay_s: dict[str, float] = {}
        self.silent_appends: set[str] = set()
        self.served_bytes = 0
        self._received: Counter[str] = Counter()
        self._appends_under_way = 0
        self._changed = asyncio.Event()
        self._partitions: dict[tuple[str, str], _Partition] = {}
        self._server = Server(self._handle)
        self._node_servers: dict[int, tuple[str, Server]] = {}

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        await self._server.start(host, port)

    @property
    def port(self) -> int:
        """Return the port on which the store listens."""
        return self._server.port

    async def open_port(self, node: str, host: str) -> int:
        """Open a port for a node that shares its address with others.

        :param node: name of the node in ``refused`` and the other settings
        :returns: the port
        """
        server = Server(self._handle)
        await server.start(host, 0)
        self._node_servers[server.port] = (node, server)
        return server.port

    async def stop(self) -> None:
        """Stop listening, and end all requests."""
        for server in self._servers:
            await server.stop(grace_s=0.0)

    @property
    def _servers(self) -> list[Server]:
        return [self._server, *(server for _, server in self._node_servers.values())]

    def _node(self, peer: Peer) -> str:
        """Return the name of the node that a request comes from, or its address."""
        own_address = peer.writer.get_extra_info("sockname")
        named = self._node_servers.get(own_address[1]) if own_address else None
        return named[0] if named is not None else _host(peer)

    def write(self, topic: str, key: str, value: bytes) -> int:
        """Append a record to partition 0 of a topic, bypassing the protocol.

        :returns: offset of the record
        """
        return self._partition(topic, "0").append([(key, value)])["offset"]

    def end_offset(self, topic: str) -> int:
        """Return the offset after the last record of a topic's partition 0."""
        return self._partition(topic, "0").end

    def records(self, topic: str) -> list[tuple[str, bytes]]:
        """Return the keys and values of all records of a topic's partition 0."""
        return list(self._partition(topic, "0").records)

    def count(self, topic: str, key: str) -> int:
        """Return how many records of a topic's partition 0 have a key."""
        return sum(name == key for name, _ in self._partition(topic, "0").records)

    async def wait_until_received(self, key: str) -> None:
        """Wait until an append with a record of this key has arrived."""
        await self._wait_until(lambda: self._received[key] > 0)

    async def wait_until_settled(self) -> None:
        """Wait until all appends that have arrived are carried out."""
        await self._wait_until(lambda: not self._appends_under_way)

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def compact(self, topic: str) -> None:
        """Delete the history of a topic, keeping the newest record of each key."""
        for (name, _), partition in self._partitions.items():
            if name == topic:
                partition.first_offset = partition.end

    def refuse(self, host: str, refusal: Refusal) -> None:
        """Refuse a node's requests; a reset also aborts its open connections."""
        self.refused[host] = refusal
        if refusal is Refusal.RESET:
            for peer in [p for server in self._servers for p in server.peers]:
                if self._node(peer) == host:
                    peer.writer.transport.abort()

    def _partition(self, topic: str, part: str) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    async def _handle(self, request: Request, peer: Peer) -> HandlerResult:
        await asyncio.sleep(REQUEST_S)
        node = self._node(peer)
        refusal = self.refused.get(node)
        if refusal is Refusal.SILENT:
            return Hang()
        if refusal is Refusal.RESET:
            return Close()
        if refusal is not None:
            return Response(503 if refusal is Refusal.BUSY else 429)
        topic = request.query.get("topic", "")
        partition = self._partition(topic, request.query.get("part", "0"))
        route = (request.method, request.path)
        if route == ("POST", "/log-append") and topic not in READ_ONLY_TOPICS:
            answer = await self._append_later(partition, request, node)
            if node in self.silent_appends:
                return Hang()
        elif route == ("GET", "/log-read"):
            answer = await self._read(partition, request)
        elif route == ("GET", "/log-newest"):
            answer = _newest_page(partition, request.query.get("after", ""))
        else:
            answer = Response(403)
        if node in self.refused:
            return Close()
        self.served_bytes += len(answer.body)
        return answer

    async def _append_later(
        self, partition: _Partition, request: Request, node: str
    ) -> Response:
        """Append after the node's delay, also if its connection has ended by then."""
        self._received.update(key for key, _ in _decode_records(request.body))
        self._appends_under_way += 1
        self._notify()
        try:
            await asyncio.sleep(self.append_delay_s.get(node, 0.0))
            return await self._append(partition, request)
        finally:
            self._appends_under_way -= 1
            self._notify()

    async def _append(self, partition: _Partition, request: Request) -> Response:
        sizes = _record_sizes(request.body)
        if sum(sizes) > CALL_BYTES or any(size > RECORD_BYTES for size in sizes):
            return Response(400)
        producer = request.query.get("producer", "")
        epoch = int(request.query.get("epoch", 0))
        sequence = int(request.query.get("sequence", 0))
        if producer:
            newest_epoch = partition.epochs.get(producer, 0)
            if epoch < newest_epoch:
                return _json({"reason": "fenced"}, 409)
            earlier = partition.append_results.get((producer, epoch, sequence))
            if earlier is not None:
                return _json(earlier)
            expected = partition.sequences.get(producer, -1) + 1
            if epoch == newest_epoch and sequence != expected:
                return _json({"reason": "seq", "sequence": expected}, 409)
            partition.epochs[producer] = epoch
            partition.sequences[producer] = sequence
        await asyncio.sleep(len(request.body) / APPEND_BYTES_PER_S)
        answer = partition.append(_decode_records(request.body))
        partition.append_results[producer, epoch, sequence] = answer
        return _json(answer)

    async def _read(self, partition: _Partition, request: Request) -> Response:
        offset = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        max_bytes = int(request.query.get("maximum_kilobytes", 1024)) * 1024
        try:
            async with asyncio.timeout(wait_s):
                while partition.end <= offset:
                    await partition.changed.wait()
        except TimeoutError:
            pass
        if offset < partition.first_offset:
            return _json({"first_offset": partition.first_offset}, 410)
        body = struct.pack(">QQ", partition.end, partition.first_offset)
        size = 0
        for key, value in partition.records[offset:]:
            frame = _encode_record(key, value)
            if size and size + len(frame) > max_bytes:
                break
            size += len(frame)
            body += frame
        return Response(200, body)


def _host(peer: Peer) -> str:
    host: str = peer.writer.get_extra_info("peername")[0]
    return host


def _encode_record(key: str, value: bytes) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return struct.pack(">I", len(content)) + content


def _record_sizes(body: bytes) -> list[int]:
    """Return the sizes of the records in the body of an append."""
    sizes = []
    pos = 0
    while pos < len(body):
        (size,) = struct.unpack_from(">I", body, pos)
        sizes.append(size)
        pos += 4 + size
    return sizes


def _decode_records(body: bytes) -> list[tuple[str, bytes]]:
    """Decode the keys and values from the body of an append."""
    rows = []
    pos = 0
    while pos < len(body):
        (size,) = struct.unpack_from(">I", body, pos)
        content = body[pos + 4 : pos + 4 + size]
        key_end = 1 + content[0]
        rows.append((content[1:key_end].decode(), content[key_end:]))
        pos += 4 + size
    return rows


def _newest_page(partition: _Partition, after: str) -> Response:
    rows = [row for row in partition.newest().items() if row[0] > after]
    items: list[dict[str, object]] = []
    size = 0
    for key, (value, offset) in rows[:MAX_NEWEST_ITEMS]:
        text = base64.b64encode(value).decode()
        if items and size + len(text) > MAX_NEWEST_BYTES:
            break
        size += len(text)
        items.append({"key": key, "value": text, "offset": offset})
    more = len(items) < len(rows)
    return _json({"items": items, "has_more": more, "end_offset": partition.end})
