"""Size-bounded cache of responses, to answer repeated requests with the same id."""

from __future__ import annotations

from collections import OrderedDict

from primrosepitch.ids import RequestId
from primrosepitch.net.http_messages import HttpResponse

__all__ = ["ResponseCache"]

RESPONSE_CACHE_BYTES = 1 << 20
"""Maximum size of all cached responses together; the process has 32 MB."""


class ResponseCache:
    """Cache of the most recent responses by request id.

    :param max_bytes: maximum size of all cached responses together
    """

    def __init__(self, max_bytes: int = RESPONSE_CACHE_BYTES) -> None:
        """Create an empty cache."""
        self._max_bytes = max_bytes
        self._total_bytes = 0
        self._responses: OrderedDict[RequestId, HttpResponse] = OrderedDict()

    def put(self, request_id: RequestId, response: HttpResponse) -> None:
        """Store a response and evict the oldest ones above the size limit."""
        self._remove(request_id)
        self._responses[request_id] = response
        self._total_bytes += _estimated_bytes(response)
        while self._total_bytes > self._max_bytes:
            self._remove(next(iter(self._responses)))

    def get(self, request_id: RequestId) -> HttpResponse | None:
        """Return the cached response; ``None`` if there is none."""
        return self._responses.get(request_id)

    def _remove(self, request_id: RequestId) -> None:
        old = self._responses.pop(request_id, None)
        if old is not None:
            self._total_bytes -= _estimated_bytes(old)


def _estimated_bytes(response: HttpResponse) -> int:
    """Estimate the memory of a response, with a flat overhead for its objects."""
    header_bytes = sum(len(k) + len(v) + 150 for k, v in response.headers)
    return len(response.body) + header_bytes + 300
