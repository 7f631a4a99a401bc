"""Network of simulated hosts in virtual time, used through ordinary asyncio calls.

Each host has one link in each direction, whose rate its connections share. A task
belongs to the host in whose context it was started. Nothing waits in real time: when no
callback is ready, the clock advances to the next timer.
"""

from __future__ import annotations

import asyncio
import contextvars
import selectors
import socket
import struct
from collections import OrderedDict, defaultdict, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from math import inf
from typing import Any, NamedTuple
from weakref import WeakSet

from primrosepitch import clock

__all__ = ["CutMode", "Network", "VirtualLoop"]

CHUNK_BYTES = 4096
"""Bytes that a connection sends before the next one gets its turn (round robin)."""

LATENCY_S = 0.0005
"""One-way latency between two hosts."""

SYN_RETRY_S = 1.0
"""Time after which an unanswered SYN is retransmitted."""

WALL_CLOCK_OFFSET_S = 1.7e9
"""Offset of the simulated Unix time from the virtual clock."""

_HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


class CutMode(Enum):
    """Behaviour of a path that is cut: connections are reset, or packets are held."""

    RESET = "reset"
    SILENT = "silent"


class _Selector(selectors.DefaultSelector):
    """Selector that advances the virtual clock instead of waiting."""

    now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError(
                "simulation cannot continue: all tasks wait and no timer is set"
            )
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock, whose sockets belong to a simulated network."""

    def __init__(self) -> None:
        """Initialize the loop and an empty network."""
        self._virtual = _Selector()
        super().__init__(self._virtual)
        self._clock_resolution = 1e-7
        self.network = Network(self)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now

    @contextmanager
    def as_clock(self) -> Iterator[None]:
        """Replace the product's clock and listening sockets by virtual ones."""
        saved = clock.monotonic, clock.wall, socket.create_server
        clock.monotonic = self.time
        clock.wall = lambda: WALL_CLOCK_OFFSET_S + self.time()
        socket.create_server = lambda address, **_: _Socket(address)  # type: ignore
        try:
            yield
        finally:
            clock.monotonic, clock.wall, socket.create_server = saved

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        """Schedule a callback; it is held while the host of the context is frozen."""
        context = context or contextvars.copy_context()
        held = self.network.frozen.get(context.get(_HOST, ""))
        if held is not None:
            handle = asyncio.Handle(callback, args, self, context)
            held.append(handle)
            return handle
        return super().call_soon(callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time, or after the host of the context thaws."""
        context = context or contextvars.copy_context()

        def fire() -> None:
            held = self.network.frozen.get(_HOST.get())
            if held is None:
                callback(*args)
            else:
                held.append(asyncio.Handle(fire_late, (), self, context))

        def fire_late() -> None:
            if not timer.cancelled():
                callback(*args)

        timer = super().call_at(when, fire, context=context)
        return timer

    def create_task(
        self, coro: Any, *, name: Any = None, context: Any = None
    ) -> asyncio.Task[Any]:
        """Start a task that belongs to the host of its context."""
        context = context or contextvars.copy_context()
        task = super().create_task(coro, name=name, context=context)
        self.network.tasks[context.get(_HOST, "")].add(task)
        return task

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: str, port: int, **_: Any
    ) -> Any:
        """Connect from the host of this context."""
        return await self.network.connect(_HOST.get(), protocol_factory, (host, port))

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Any,
        host: str = "",
        port: int = 0,
        sock: Any = None,
        **_: Any,
    ) -> Any:
        """Listen on the host of this context."""
        address = (host, port) if sock is None else sock.getsockname()
        return self.network.listen(protocol_factory, address)


class _Link:
    """One direction of a host's link; its connections take turns, chunk by chunk."""

    def __init__(self, loop: asyncio.AbstractEventLoop, bytes_per_s: float) -> None:
        self._loop = loop
        self.bytes_per_s = bytes_per_s
        self._queues: OrderedDict[_Transport, deque[tuple[int, Callable[[], None]]]]
        self._queues = OrderedDict()
        self._busy = False
        self.carried_bytes = 0

    def send(self, flow: _Transport, size: int, done: Callable[[], None]) -> None:
        self._queues.setdefault(flow, deque()).append((size, done))
        if not self._busy:
            self._send_next()

    def _send_next(self) -> None:
        self._busy = bool(self._queues)
        if not self._busy:
            return
        flow, chunks = self._queues.popitem(last=False)
        size, done = chunks.popleft()
        if chunks:
            self._queues[flow] = chunks
        if flow.closed:
            self._queues.pop(flow, None)
        self.carried_bytes += size
        # The empty context keeps the network's timers running on frozen hosts.
        self._loop.call_later(
            size / self.bytes_per_s,
            self._chunk_done,
            done,
            context=contextvars.Context(),
        )

    def _chunk_done(self, done: Callable[[], None]) -> None:
        done()
        self._send_next()


class _Socket:
    """Socket with the methods that the product calls.

    :param resets_on_close: whether closing discards data that was not delivered
    :param user_timeout_s: time after which undelivered data is discarded
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self.resets_on_close = False
        self.user_timeout_s = inf

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def listen(self, backlog: int) -> None:
        """Return immediately."""

    def close(self) -> None:
        """Return immediately."""

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Set an option; all but two are ignored."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.resets_on_close = struct.unpack("ii", value) == (1, 0)
        elif (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self.user_timeout_s = value / 1000


class _Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self,
        network: Network,
        local_ip: str,
        remote_ip: str,
        context: contextvars.Context,
    ) -> None:
        self.sock = _Socket((local_ip, 0))
        super().__init__({"peername": (remote_ip, 0), "socket": self.sock})
        self.local_ip = local_ip
        self.remote_ip = remote_ip
        self.peer: _Transport | None = None
        self.closed = False
        self._network = network
        self._context = context
        self._protocol: Any = None
        self._unsent_bytes = 0
        self._closing = False
        self._writing_paused = False
        self._reading = True
        self._receive_buffer: deque[bytes] = deque()
        self._high_water_bytes = 65536

    def attach(self, protocol: Any) -> None:
        self._protocol = protocol
        self._schedule(protocol.connection_made, self)

    def _schedule(self, callback: Any, *args: Any) -> None:
        self._network.loop.call_soon(callback, *args, context=self._context)

    # Writing

    def write(self, data: Any) -> None:
        if self._closing or self.closed:
            return
        view = bytes(data)
        for at in range(0, len(view), CHUNK_BYTES):
            self._network.carry(self, view[at : at + CHUNK_BYTES])
        self._unsent_bytes += len(view)
        if self._unsent_bytes > self._high_water_bytes and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()

    def chunk_sent(self, size: int) -> None:
        self._unsent_bytes -= size
        if self._writing_paused and self._unsent_bytes <= self._high_water_bytes // 4:
            self._writing_paused = False
            self._schedule(self._protocol.resume_writing)
        if self._closing and not self._unsent_bytes and not self.closed:
            self._close_gracefully()

    def get_write_buffer_size(self) -> int:
        return self._unsent_bytes

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        self._high_water_bytes = 65536 if high is None else high

    def can_write_eof(self) -> bool:
        return False

    # Reading

    def receive(self, data: bytes) -> None:
        if self.closed:
            return
        self._receive_buffer.append(data)
        self._deliver_received()

    def _deliver_received(self) -> None:
        while self._reading and self._receive_buffer:
            self._schedule(self._data_received, self._receive_buffer.popleft())

    def _data_received(self, data: bytes) -> None:
        if self.closed:
            return
        if not isinstance(self._protocol, asyncio.BufferedProtocol):
            self._protocol.data_received(data)
            return
        while data and self._reading and not self.closed:
            buffer = memoryview(self._protocol.get_buffer(-1))
            size = min(len(buffer), len(data))
            buffer[:size] = data[:size]
            data = data[size:]
            self._protocol.buffer_updated(size)
        if data:
            self._receive_buffer.appendleft(data)

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        self._reading = True
        self._deliver_received()

    # Closing

    def is_closing(self) -> bool:
        return self._closing or self.closed

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            if not self._unsent_bytes:
                self._close_gracefully()

    def _close_gracefully(self) -> None:
        self._network.carry_end(self)
        self.terminate(None)

    def abort(self) -> None:
        other = self.peer
        if not self.sock.resets_on_close and self._network.holds_data_of(self):
            # The kernel goes on sending what the program has written.
            self._network.carry_end(self)
            self.terminate(None)
            return
        self.terminate(None)
        if other is not None:
            reset = ConnectionResetError("connection reset by peer")
            self._network.call_after_latency(
                other.local_ip, lambda: other.terminate(reset), self.local_ip
            )

    def receive_eof(self) -> None:
        """Handle the end of the peer's data."""
        if not self.closed:
            self._schedule(self._eof_received)

    def _eof_received(self) -> None:
        if not self.closed and not self._protocol.eof_received():
            self.terminate(None)

    def terminate(self, exc: Exception | None) -> None:
        if not self.closed:
            self.closed = self._closing = True
            self._network.transports.discard(self)
            self._schedule(self._protocol.connection_lost, exc)


class _Server:
    """A host's listening port."""

    def __init__(self, network: Network, address: tuple[str, int], factory: Any):
        self.sockets = [_Socket(address)]
        self.factory = factory
        self.context = contextvars.copy_context()
        self._network = network
        self._address = address

    def close(self) -> None:
        self._network.servers.pop(self._address, None)

    async def wait_closed(self) -> None:
        """Return immediately."""


class _HeldDelivery(NamedTuple):
    """Delivery that waits until a cut heals."""

    deliver: Callable[[], None]
    flow: _Transport | None
    since: float

    def discarded(self, now: float) -> bool:
        """Return whether the sender's kernel has discarded the data."""
        flow = self.flow
        if flow is None:
            return False
        if flow.closed:
            # The user timeout may not apply to what a closed connection has left.
            return flow.sock.resets_on_close
        return now - self.since > flow.sock.user_timeout_s


class Network:
    """Hosts and the paths between them.

    :param loop: event loop that runs all hosts
    """

    def __init__(self, loop: VirtualLoop) -> None:
        """Initialize a network without hosts."""
        self.loop = loop
        self.servers: dict[tuple[str, int], _Server] = {}
        self.transports: set[_Transport] = set()
        self.frozen: dict[str, list[asyncio.Handle]] = {}
        self.tasks: defaultdict[str, WeakSet[asyncio.Task[Any]]]
        self.tasks = defaultdict(WeakSet)
        self._links: dict[str, tuple[_Link, _Link]] = {}
        self._cuts: dict[frozenset[str], CutMode] = {}
        self._held_deliveries: dict[frozenset[str], list[_HeldDelivery]] = {}

    def add_host(self, ip: str, mbit_per_s: float) -> None:
        """Add a host whose link has a rate in each direction."""
        rate = mbit_per_s * 1e6 / 8
        self._links[ip] = _Link(self.loop, rate), _Link(self.loop, rate)

    def set_rate(self, ip: str, mbit_per_s: float) -> None:
        """Change the rate of a host's link, starting with the next chunk."""
        for link in self._links[ip]:
            link.bytes_per_s = mbit_per_s * 1e6 / 8

    def received_bytes(self, ip: str) -> int:
        """Return the number of bytes received over a host's link."""
        return self._links[ip][1].carried_bytes

    def spawn(self, ip: str, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine on a host."""
        context = contextvars.copy_context()
        context.run(_HOST.set, ip)
        return self.loop.create_task(work, context=context)

    def kill(self, ip: str) -> None:
        """Cancel all tasks of a host, close its servers and abort its connections."""
        for task in list(self.tasks.pop(ip, ())):
            task.cancel()
        for address in [a for a in self.servers if a[0] == ip]:
            del self.servers[address]
        for transport in [t for t in self.transports if t.local_ip == ip]:
            transport.abort()

    def freeze(self, ip: str) -> None:
        """Suspend a host: its callbacks are held until it thaws."""
        self.frozen[ip] = []

    def thaw(self, ip: str) -> None:
        """Resume a host and run the callbacks held in the meantime."""
        for handle in self.frozen.pop(ip):
            if not handle.cancelled():
                # Runs in the handle's own context.
                self.loop.call_soon(handle._run, context=contextvars.Context())

    def cut(self, one: str, other: str, how: CutMode) -> None:
        """Cut the path between two hosts."""
        pair = frozenset((one, other))
        self._cuts[pair] = how
        self._held_deliveries.setdefault(pair, [])
        if how is CutMode.RESET:
            for transport in list(self.transports):
                if {transport.local_ip, transport.remote_ip} == pair:
                    transport.terminate(ConnectionResetError("cut"))

    def heal(self, one: str, other: str) -> None:
        """Restore a path and deliver the packets that it held."""
        pair = frozenset((one, other))
        self._cuts.pop(pair, None)
        for held in self._held_deliveries.pop(pair, []):
            if not held.discarded(self.loop.time()):
                held.deliver()

    def holds_data_of(self, flow: _Transport) -> bool:
        """Return whether a cut holds data that a connection has sent."""
        pair = frozenset((flow.local_ip, flow.remote_ip))
        return any(held.flow is flow for held in self._held_deliveries.get(pair, []))

    def listen(self, factory: Any, address: tuple[str, int]) -> _Server:
        """Accept connections at an address."""
        if address in self.servers:
            raise OSError(f"address {address} is already in use")
        server = self.servers[address] = _Server(self, address, factory)
        return server

    async def connect(
        self, source: str, factory: Any, address: tuple[str, int]
    ) -> tuple[_Transport, Any]:
        """Open a connection.

        :raises OSError: if the path is cut with resets, or nothing listens
        """
        pair = frozenset((source, address[0]))
        await asyncio.sleep(2 * LATENCY_S)
        while self._cuts.get(pair) is CutMode.SILENT:
            await asyncio.sleep(SYN_RETRY_S)
        server = self.servers.get(address)
        if server is None or pair in self._cuts:
            raise ConnectionRefusedError(f"connection to {address} refused")
        client = _Transport(self, source, address[0], contextvars.copy_context())
        accepted = _Transport(self, address[0], source, server.context)
        client.peer, accepted.peer = accepted, client
        self.transports |= {client, accepted}
        protocol = factory()
        accepted.attach(server.context.run(server.factory))
        client.attach(protocol)
        await asyncio.sleep(0)
        return client, protocol

    def carry(self, flow: _Transport, data: bytes) -> None:
        """Send a chunk over the links of both hosts."""
        other = flow.peer
        assert other is not None
        size = len(data)

        def sent() -> None:
            flow.chunk_sent(size)
            self.call_after_latency(other.local_ip, received, flow.local_ip, flow)

        def received() -> None:
            self._links[other.local_ip][1].send(
                other, size, lambda: other.receive(data)
            )

        self._links[flow.local_ip][0].send(flow, size, sent)

    def carry_end(self, flow: _Transport) -> None:
        """Send the end of data to the other end, after all bytes."""
        other = flow.peer
        assert other is not None
        down = self._links[other.local_ip][1]
        self.call_after_latency(
            other.local_ip,
            lambda: down.send(other, 0, other.receive_eof),
            flow.local_ip,
        )

    def call_after_latency(
        self,
        target: str,
        action: Callable[[], None],
        source: str = "",
        flow: _Transport | None = None,
    ) -> None:
        """Call a function after the latency between two hosts.

        While their path is cut, it is held until the path heals or, with resets,
        dropped.

        :param flow: connection whose data the function delivers, if any
        """
        pair = frozenset((source, target))
        if pair in self._cuts:
            if self._cuts[pair] is CutMode.SILENT:
                held = _HeldDelivery(action, flow, self.loop.time())
                self._held_deliveries[pair].append(held)
            return
        self.loop.call_later(LATENCY_S, action, context=contextvars.Context())
