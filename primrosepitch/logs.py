"""JSON log lines on standard output, bounded in rate and never blocking."""

from __future__ import annotations

import json
import logging
import os
from collections import Counter, deque

from primrosepitch import clock
from primrosepitch.events import JsonFormatter

__all__ = ["BoundedHandler", "log_to_stdout"]

MAX_LINES_PER_S = 600
"""Most lines at level info in a second; the heaviest days write about 400 at the
scheduler."""

MAX_BUFFER_BYTES = 1 << 20
"""Most bytes kept for a reader that is slow."""

STDOUT = 1


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without waiting for its reader.

    Lines at level info beyond the rate, and all lines beyond the buffer, are counted
    by event and summed up in one line when there is room again. Warnings and errors
    are dropped only when the buffer is full.

    :param fd: non-blocking descriptor
    """

    def __init__(self, fd: int, lines_per_s: int = MAX_LINES_PER_S) -> None:
        """Have nothing to write."""
        super().__init__()
        self._fd = fd
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0
        self._waiting: deque[bytes] = deque()
        self._bytes = 0
        self.dropped: Counter[str] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, keep it for later, or count it as dropped."""
        second = int(clock.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
            self._sum_up()
        self._lines += 1
        too_many = self._lines > self._lines_per_s and record.levelno < logging.WARNING
        if too_many or self._bytes > MAX_BUFFER_BYTES:
            self.dropped[record.getMessage()] += 1
            return
        self._keep(self.format(record))
        self.flush()

    def _keep(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._waiting.append(data)
        self._bytes += len(data)

    def _sum_up(self) -> None:
        if self.dropped and self._bytes <= MAX_BUFFER_BYTES:
            line = {
                "time": round(clock.wall(), 3),
                "level": "warning",
                "number": 1113,
                "event": "log_lines_dropped",
                "counts": dict(self.dropped),
            }
            self.dropped.clear()
            self._keep(json.dumps(line))

    def flush(self) -> None:
        """Write what the reader takes."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read it, and there is nowhere else to say so.
                self._waiting.clear()
                self._bytes = 0
                return
            self._bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()


def log_to_stdout(level: str = "INFO") -> BoundedHandler:
    """Send JSON log lines to standard output.

    :returns: the handler, whose ``flush`` is to be called now and then
    """
    os.set_blocking(STDOUT, False)
    handler = BoundedHandler(STDOUT)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler
