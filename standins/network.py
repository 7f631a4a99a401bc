"""Network of simulated hosts in virtual time, under the ordinary asyncio calls.

Each host has one link in each direction, with a rate that its connections share. A
task belongs to the host in whose context it was started. Nothing waits in real time:
when no callback is ready, the clock goes on to the next timer.
"""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections import OrderedDict, defaultdict, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Any
from weakref import WeakSet

from primrosepitch import clock

__all__ = ["CutMode", "Network", "VirtualLoop"]

CHUNK_BYTES = 4096
"""Bytes that one connection sends before the next one has its turn."""

LATENCY_S = 0.0005
"""One way between two hosts."""

SYN_RETRY_S = 1.0
"""Time after which an unanswered opening packet is sent again."""

EPOCH_S = 1.7e9
"""Time of day at which a simulation begins."""

_HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


class CutMode(Enum):
    """What a host meets on a path that is cut."""

    RESET = "reset"
    SILENT = "silent"


class _Selector(selectors.DefaultSelector):
    """Advances the clock in place of waiting."""

    now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a clock of its own, whose sockets belong to a network."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self._virtual = _Selector()
        super().__init__(self._virtual)
        self._clock_resolution = 1e-7
        self.network = Network(self)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now

    @contextmanager
    def as_clock(self) -> Iterator[None]:
        """Let the product's clock tell the virtual time."""
        kept = clock.monotonic, clock.wall
        clock.monotonic = self.time
        clock.wall = lambda: EPOCH_S + self.time()
        try:
            yield
        finally:
            clock.monotonic, clock.wall = kept

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        """Call as soon as the host of the context is not frozen."""
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
        """Call at a time, or later if the host of the context is frozen then."""
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
        """Start a task, which belongs to the host of its context."""
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
        self, protocol_factory: Any, host: str, port: int, **_: Any
    ) -> Any:
        """Listen on the host of this context."""
        return self.network.listen(protocol_factory, (host, port))


class _Link:
    """One direction of a host's link; connections take turns by chunks."""

    def __init__(self, loop: asyncio.AbstractEventLoop, bytes_per_s: float) -> None:
        self._loop = loop
        self.bytes_per_s = bytes_per_s
        self._flows: OrderedDict[_Transport, deque[tuple[int, Callable[[], None]]]]
        self._flows = OrderedDict()
        self._busy = False
        self.carried = 0

    def send(self, flow: _Transport, size: int, done: Callable[[], None]) -> None:
        self._flows.setdefault(flow, deque()).append((size, done))
        if not self._busy:
            self._next()

    def _next(self) -> None:
        self._busy = bool(self._flows)
        if not self._busy:
            return
        flow, chunks = self._flows.popitem(last=False)
        size, done = chunks.popleft()
        if chunks:
            self._flows[flow] = chunks
        if flow.closed:
            self._flows.pop(flow, None)
        self.carried += size
        # Timers of the network belong to no host.
        self._loop.call_later(
            size / self.bytes_per_s, self._sent, done, context=contextvars.Context()
        )

    def _sent(self, done: Callable[[], None]) -> None:
        done()
        self._next()


class _Socket:
    """What is asked of a socket."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def setsockopt(self, *args: Any) -> None:
        """Accept any option."""


class _Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self, network: Network, here: str, there: str, context: contextvars.Context
    ) -> None:
        super().__init__({"peername": (there, 0), "socket": _Socket((here, 0))})
        self.here = here
        self.there = there
        self.other: _Transport | None = None
        self.closed = False
        self._network = network
        self._context = context
        self._protocol: Any = None
        self._unsent = 0
        self._closing = False
        self._writing_paused = False
        self._reading = True
        self._arrived: deque[bytes] = deque()
        self._high = 65536

    def begin(self, protocol: Any) -> None:
        self._protocol = protocol
        self._call(protocol.connection_made, self)

    def _call(self, callback: Any, *args: Any) -> None:
        self._network.loop.call_soon(callback, *args, context=self._context)

    # Writing

    def write(self, data: Any) -> None:
        if self._closing or self.closed:
            return
        view = bytes(data)
        for at in range(0, len(view), CHUNK_BYTES):
            self._network.carry(self, view[at : at + CHUNK_BYTES])
        self._unsent += len(view)
        if self._unsent > self._high and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()

    def left_link(self, size: int) -> None:
        self._unsent -= size
        if self._writing_paused and self._unsent <= self._high // 4:
            self._writing_paused = False
            self._call(self._protocol.resume_writing)
        if self._closing and not self._unsent and not self.closed:
            self._finish()

    def get_write_buffer_size(self) -> int:
        return self._unsent

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        self._high = 65536 if high is None else high

    def can_write_eof(self) -> bool:
        return False

    # Reading

    def arrive(self, data: bytes) -> None:
        if self.closed:
            return
        self._arrived.append(data)
        self._hand_over()

    def _hand_over(self) -> None:
        while self._reading and self._arrived:
            self._call(self._received, self._arrived.popleft())

    def _received(self, data: bytes) -> None:
        if not self.closed:
            self._protocol.data_received(data)

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        self._reading = True
        self._hand_over()

    # Closing

    def is_closing(self) -> bool:
        return self._closing or self.closed

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            if not self._unsent:
                self._finish()

    def _finish(self) -> None:
        self._network.carry_end(self)
        self.lose(None)

    def abort(self) -> None:
        other = self.other
        self.lose(None)
        if other is not None:
            reset = ConnectionResetError("reset by peer")
            self._network.later(other.here, lambda: other.lose(reset), self.here)

    def end(self) -> None:
        """Note that the other end closed after all its bytes."""
        if not self.closed:
            self._call(self._eof)

    def _eof(self) -> None:
        if not self.closed and not self._protocol.eof_received():
            self.lose(None)

    def lose(self, exc: Exception | None) -> None:
        if not self.closed:
            self.closed = self._closing = True
            self._network.transports.discard(self)
            self._call(self._protocol.connection_lost, exc)


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
        """Return at once."""


class Network:
    """Hosts and the paths between them.

    :param loop: runs all hosts
    """

    def __init__(self, loop: VirtualLoop) -> None:
        """Have no host."""
        self.loop = loop
        self.servers: dict[tuple[str, int], _Server] = {}
        self.transports: set[_Transport] = set()
        self.frozen: dict[str, list[asyncio.Handle]] = {}
        self.tasks: defaultdict[str, WeakSet[asyncio.Task[Any]]]
        self.tasks = defaultdict(WeakSet)
        self._links: dict[str, tuple[_Link, _Link]] = {}
        self._cuts: dict[frozenset[str], CutMode] = {}
        self._held: dict[frozenset[str], list[Callable[[], None]]] = {}

    def add_host(self, ip: str, mbit_per_s: float) -> None:
        """Add a host with a link of a rate."""
        rate = mbit_per_s * 1e6 / 8
        self._links[ip] = _Link(self.loop, rate), _Link(self.loop, rate)

    def set_rate(self, ip: str, mbit_per_s: float) -> None:
        """Change the rate of a host's link from the next chunk on."""
        for link in self._links[ip]:
            link.bytes_per_s = mbit_per_s * 1e6 / 8

    def received_bytes(self, ip: str) -> int:
        """Return the bytes that a host's link has brought."""
        return self._links[ip][1].carried

    def spawn(self, ip: str, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine on a host."""
        context = contextvars.copy_context()
        context.run(_HOST.set, ip)
        return self.loop.create_task(work, context=context)

    def kill(self, ip: str) -> None:
        """End all that runs on a host."""
        for task in list(self.tasks.pop(ip, ())):
            task.cancel()
        for address in [a for a in self.servers if a[0] == ip]:
            del self.servers[address]
        for transport in [t for t in self.transports if t.here == ip]:
            transport.abort()

    def freeze(self, ip: str) -> None:
        """Let nothing run on a host."""
        self.frozen[ip] = []

    def thaw(self, ip: str) -> None:
        """Let a host go on with all that has come meanwhile."""
        for handle in self.frozen.pop(ip):
            if not handle.cancelled():
                # Runs in the handle's own context.
                self.loop.call_soon(handle._run, context=contextvars.Context())

    def cut(self, one: str, other: str, how: CutMode) -> None:
        """Cut the path between two hosts."""
        pair = frozenset((one, other))
        self._cuts[pair] = how
        self._held.setdefault(pair, [])
        if how is CutMode.RESET:
            for transport in list(self.transports):
                if {transport.here, transport.there} == pair:
                    transport.lose(ConnectionResetError("cut"))

    def heal(self, one: str, other: str) -> None:
        """Restore a path; what it held up arrives."""
        pair = frozenset((one, other))
        self._cuts.pop(pair, None)
        for deliver in self._held.pop(pair, []):
            deliver()

    def listen(self, factory: Any, address: tuple[str, int]) -> _Server:
        """Accept connections at an address."""
        if address in self.servers:
            raise OSError(f"{address} is in use")
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
            raise ConnectionRefusedError(f"{address} refused")
        near = _Transport(self, source, address[0], contextvars.copy_context())
        far = _Transport(self, address[0], source, server.context)
        near.other, far.other = far, near
        self.transports |= {near, far}
        protocol = factory()
        far.begin(server.context.run(server.factory))
        near.begin(protocol)
        await asyncio.sleep(0)
        return near, protocol

    def carry(self, flow: _Transport, data: bytes) -> None:
        """Send a chunk over both hosts' links."""
        other = flow.other
        assert other is not None
        size = len(data)

        def left() -> None:
            flow.left_link(size)
            self.later(other.here, received, flow.here)

        def received() -> None:
            self._links[other.here][1].send(other, size, lambda: other.arrive(data))

        self._links[flow.here][0].send(flow, size, left)

    def carry_end(self, flow: _Transport) -> None:
        """Tell the other end, behind all bytes, that no more will come."""
        other = flow.other
        assert other is not None
        down = self._links[other.here][1]
        self.later(other.here, lambda: down.send(other, 0, other.end), flow.here)

    def later(self, there: str, action: Callable[[], None], here: str = "") -> None:
        """Do something after the way between two hosts, or when a cut has ended."""
        pair = frozenset((here, there))
        if pair in self._cuts:
            if self._cuts[pair] is CutMode.SILENT:
                self._held[pair].append(action)
            return
        self.loop.call_later(LATENCY_S, action, context=contextvars.Context())
