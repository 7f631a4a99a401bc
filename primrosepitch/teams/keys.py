"""Creation and verification of team keys, and admission of requests."""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Container
from typing import NamedTuple

from primrosepitch.config.model import PUBLIC_TEAM, KeySpec, TeamSpec
from primrosepitch.errors import (
    KeyMissingError,
    KeyStaleError,
    KeyUnknownError,
    KeyWithdrawnError,
    QueueNotAllowedError,
    QueueUnknownError,
)
from primrosepitch.fleet.state import FleetState
from primrosepitch.ids import KeyId, QueueId, TeamId

__all__ = ["Admission", "MALFORMED_KEY_ID", "admit", "new_key", "split_key", "verify"]

SECRET_BYTES = 32
KEY_ID_DIGITS = 12
SALT_DIGITS = 32

MALFORMED_KEY_ID = KeyId("malformed")
"""Id used for a malformed key, whose text is not kept as it may contain a secret."""

_RAW_KEY = re.compile(rf"([0-9a-f]{{{KEY_ID_DIGITS}}})\.([0-9a-f]{{64}})")

_DUMMY_KEY = KeySpec(salt="0" * SALT_DIGITS, digest="0" * 64)
"""Hashed in place of an unknown key, so that both cases take the same time."""


class Admission(NamedTuple):
    """Decision on the key and the queue of a request.

    :param team: team that the request is charged to; ``None`` if refused
    :param code: error code registered in ``primrosepitch.errors``; empty if admitted
    """

    team: TeamId | None
    code: str


def new_key(random_bytes: bytes) -> tuple[str, KeyId, KeySpec]:
    """Generate a key of the form ``KEYID.SECRET``.

    :param random_bytes: at least 32 bytes from the system's random source
    :returns: raw key for the team, its public id, and the salted hash to store
    :raises ValueError: if there are too few random bytes
    """
    if len(random_bytes) < SECRET_BYTES:
        raise ValueError(f"too few random bytes: a key needs at least {SECRET_BYTES}")
    secret = random_bytes[:SECRET_BYTES].hex()
    key_id = KeyId(_derive(b"id", random_bytes)[:KEY_ID_DIGITS])
    salt = _derive(b"salt", random_bytes)[:SALT_DIGITS]
    raw = f"{key_id}.{secret}"
    return raw, key_id, KeySpec(salt=salt, digest=_digest(salt, raw))


def _derive(label: bytes, random_bytes: bytes) -> str:
    """Derive hexadecimal digits by an HMAC, which does not reveal the random bytes."""
    return hmac.new(random_bytes, label, hashlib.sha256).hexdigest()


def _digest(salt: str, raw: str) -> str:
    """Return the salted hash of a raw key in hexadecimal."""
    return hashlib.sha256(salt.encode() + raw.encode()).hexdigest()


def split_key(raw: str) -> tuple[KeyId, str]:
    """Split a raw key into its public id and its secret.

    :returns: two empty strings for an empty key; ``MALFORMED_KEY_ID`` and an empty
        secret for a malformed key
    """
    if not raw:
        return KeyId(""), ""
    match = _RAW_KEY.fullmatch(raw)
    if match is None:
        return MALFORMED_KEY_ID, ""
    return KeyId(match[1]), match[2]


def verify(fleet: FleetState, raw: str) -> bool:
    """Check a raw key against the stored hash.

    An unknown key is hashed and compared like a known one, against timing attacks.
    """
    key_id, _ = split_key(raw)
    key = fleet.find_key(key_id)
    spec = key.spec if key else _DUMMY_KEY
    matches = hmac.compare_digest(_digest(spec.salt, raw), spec.digest)
    return matches and key is not None


def admit(
    fleet: FleetState,
    queue: QueueId,
    key_id: KeyId,
    key_valid: bool,
    pending_withdrawn: Container[KeyId],
    contact_age_s: float,
) -> Admission:
    """Decide whether a request is admitted, and for which team.

    On a queue that is open to all, a key that would be refused elsewhere is ignored.

    :param key_id: public id of the key that came with the request; empty without a key
    :param key_valid: whether the secret matched the stored hash
    :param pending_withdrawn: keys whose withdrawal is not in the log yet
    :param contact_age_s: seconds since the last contact with the log
    """
    service = fleet.config.services.get(queue)
    if service is None:
        return Admission(None, QueueUnknownError.code)
    admission = _admit_key(
        fleet, queue, key_id, key_valid, pending_withdrawn, contact_age_s
    )
    if admission.team is None and service.open:
        return Admission(PUBLIC_TEAM, "")
    return admission


def _admit_key(
    fleet: FleetState,
    queue: QueueId,
    key_id: KeyId,
    key_valid: bool,
    pending_withdrawn: Container[KeyId],
    contact_age_s: float,
) -> Admission:
    """Decide on a request to a queue that requires a key."""
    if not key_id:
        return Admission(None, KeyMissingError.code)
    if key_id in fleet.withdrawn or key_id in pending_withdrawn:
        return Admission(None, KeyWithdrawnError.code)
    key = fleet.find_key(key_id)
    team = fleet.config.teams.get(key.team) if key else None
    if key is None or team is None or not key_valid:
        return Admission(None, KeyUnknownError.code)
    if team.queues and queue not in team.queues:
        return Admission(None, QueueNotAllowedError.code)
    if _is_stale(team, contact_age_s):
        return Admission(None, KeyStaleError.code)
    return Admission(key.team, "")


def _is_stale(team: TeamSpec, contact_age_s: float) -> bool:
    """Whether the last contact with the log is too old to accept the team's keys."""
    deadline_s = team.stale_key_deadline_s
    return deadline_s is not None and contact_age_s > deadline_s
