"""The stand-in of the log store, with writes that are lost and done late.

PROTOCOL.md: "A call that receives no response may have been executed, or may be
executed seconds later if its condition still holds."
"""

from __future__ import annotations

import asyncio

from standins.http import Request, Response
from standins.log_store import LogStore

__all__ = ["LateStore"]


class LateStore(LogStore):
    """Loses the writes whose records contain a text, and does them later."""

    def __init__(self) -> None:
        """Lose nothing yet."""
        super().__init__()
        self._text = b""
        self._late_s = 0.0
        self._total = 0
        self._lost = 0
        self._late_writes: set[asyncio.Task[Response]] = set()

    def lose(self, text: str, late_s: float) -> None:
        """Begin to lose writes."""
        self._text, self._late_s = text.encode(), late_s
        self._total = self._lost = 0

    def end_loss(self) -> tuple[int, int]:
        """Stop losing writes; return how many came since, and how many were lost."""
        self._text = b""
        return self._total, self._lost

    async def stop(self) -> None:
        """Stop listening, and end all requests."""
        for write in self._late_writes:
            write.cancel()
        await super().stop()

    async def _append_later(self, partition, request: Request, node: str) -> Response:  # type: ignore[no-untyped-def]
        self._total += 1
        if not self._text or self._text not in request.body:
            return await super()._append_later(partition, request, node)
        self._lost += 1
        write = asyncio.ensure_future(self._write(partition, request, self._late_s))
        self._late_writes.add(write)
        write.add_done_callback(self._late_writes.discard)
        await asyncio.Event().wait()
        return Response(503)

    async def _write(self, partition, request: Request, late_s: float) -> Response:  # type: ignore[no-untyped-def]
        await asyncio.sleep(late_s)
        return await self._append(partition, request)
