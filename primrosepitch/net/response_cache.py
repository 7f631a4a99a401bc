"""Answers kept for repeats of a request id, within a bound of bytes."""

from __future__ import annotations

from collections import OrderedDict

from primrosepitch.ids import RequestId
from primrosepitch.net.http_messages import HttpResponse

__all__ = ["ResponseCache"]

ANSWER_CACHE_BYTES = 1 << 20
"""All kept answers together; the process has 32 MB."""


class ResponseCache:
    """Newest answers by request id.

    :param max_bytes: bound of all answers together
    """

    def __init__(self, max_bytes: int = ANSWER_CACHE_BYTES) -> None:
        """Start without answers."""
        self._max_bytes = max_bytes
        self._bytes = 0
        self._kept: OrderedDict[RequestId, HttpResponse] = OrderedDict()

    def put(self, request_id: RequestId, response: HttpResponse) -> None:
        """Keep an answer and drop the oldest ones beyond the bound."""
        self._drop(request_id)
        self._kept[request_id] = response
        self._bytes += _size(response)
        while self._bytes > self._max_bytes:
            self._drop(next(iter(self._kept)))

    def get(self, request_id: RequestId) -> HttpResponse | None:
        """Return a kept answer."""
        return self._kept.get(request_id)

    def _drop(self, request_id: RequestId) -> None:
        old = self._kept.pop(request_id, None)
        if old is not None:
            self._bytes -= _size(old)


def _size(response: HttpResponse) -> int:
    """Return the bytes of an answer, with a flat amount for its objects."""
    fields = sum(len(k) + len(v) + 150 for k, v in response.headers)
    return len(response.body) + fields + 300
