"""Rate-limited, non-blocking JSON logging to standard output."""

from __future__ import annotations

import json
import logging
import os
import time
from collections import Counter, deque

from primrosepitch import clock
from primrosepitch.events import JsonFormatter

__all__ = ["BoundedHandler", "log_to_stdout"]

MAX_LINES_PER_S = 600
"""Rate limit for lines at level info; the scheduler writes about 400 a second on the
heaviest days."""

MAX_WARNINGS_PER_S = 100
"""Rate limit for lines of one event above level info: a caller's request can cause one
each, and the buffer doesn't bound what a fast reader gets."""

MAX_BUFFER_BYTES = 1 << 20
"""Buffer size above which further lines are dropped while the reader is slow."""

CLOSE_POLL_S = 0.005

STDOUT = 1


class BoundedHandler(logging.Handler):
    """Write log lines to a file descriptor without blocking.

    Lines at level info above the rate limit that are not essential, and all lines
    while the buffer is full, are dropped and counted by event; one summary line reports
    the counts when the buffer has room again. Warnings and errors are dropped only
    above a rate for each event, and while it is full.

    :param fd: non-blocking descriptor
    """

    def __init__(self, fd: int, lines_per_s: int = MAX_LINES_PER_S) -> None:
        """Create a handler with an empty buffer."""
        super().__init__()
        self._fd = fd
        self._max_lines_per_s = lines_per_s
        self._second = 0
        self._lines_in_second = 0
        self._warnings_in_second: Counter[str] = Counter()
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped: Counter[str] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Write or buffer a line, or count it as dropped."""
        second = int(clock.monotonic())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
            self._warnings_in_second.clear()
            self._buffer_summary()
        self._lines_in_second += 1
        if getattr(record, "essential", False):
            over_rate = False
        elif record.levelno < logging.WARNING:
            over_rate = self._lines_in_second > self._max_lines_per_s
        else:
            event = record.getMessage()
            self._warnings_in_second[event] += 1
            over_rate = self._warnings_in_second[event] > MAX_WARNINGS_PER_S
        if over_rate or self._buffered_bytes > MAX_BUFFER_BYTES:
            self.dropped[record.getMessage()] += 1
            return
        self._append_line(self.format(record))
        self.flush()

    def _append_line(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _buffer_summary(self) -> None:
        if self.dropped and self._buffered_bytes <= MAX_BUFFER_BYTES:
            line = {
                "time": round(clock.wall(), 3),
                "level": "warning",
                "number": 1113,
                "event": "log_lines_dropped",
                "counts": dict(self.dropped),
            }
            self.dropped.clear()
            self._append_line(json.dumps(line))

    def close_by(self, deadline: float) -> None:
        """Write what is buffered before the process ends.

        :param deadline: boot-time clock up to which a slow reader is waited for
        """
        self._buffer_summary()
        self.flush()
        while self._buffer and clock.monotonic() < deadline:
            time.sleep(CLOSE_POLL_S)
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to log the error.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()


def log_to_stdout(level: str = "INFO") -> BoundedHandler:
    """Configure the root logger to write JSON lines to standard output.

    :returns: the handler; call its ``flush`` periodically to write buffered lines
    """
    os.set_blocking(STDOUT, False)
    handler = BoundedHandler(STDOUT)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    return handler
