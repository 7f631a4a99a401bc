"""Reads the record of slow endpoints at the begin of a term."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from primrosepitch.decoding import unreadable_as_decode_error
from primrosepitch.events import LEDGER_RECORD_UNREADABLE, emit
from primrosepitch.jobs.model import EndpointId
from primrosepitch.jobs.records import SLOW_KEY, SlowEndpoint, decode_slow_endpoints

__all__ = ["read_slow_endpoints"]


def read_slow_endpoints(
    records: Iterable[tuple[str, bytes]],
) -> dict[EndpointId, SlowEndpoint]:
    """Return the slow endpoints in the records of the runs partition.

    A record that can't be decoded is logged and ignored: the endpoints are found again.
    """
    try:
        with unreadable_as_decode_error():
            return decode_slow_endpoints(records)
    except msgspec.DecodeError as exc:
        emit(LEDGER_RECORD_UNREADABLE, key=SLOW_KEY, error=str(exc))
        return {}
