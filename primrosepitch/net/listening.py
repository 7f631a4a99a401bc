"""Listening sockets that accept a bounded number of connections at a time."""

from __future__ import annotations

import socket

__all__ = ["BACKLOG", "MAX_ACCEPTED_PER_ITERATION", "create_listening_socket"]

BACKLOG = 512
"""Connections that the kernel holds until they are accepted."""

MAX_ACCEPTED_PER_ITERATION = 16
"""Maximum number of connections accepted in one iteration of the event loop. Each has a
descriptor before the server can refuse it."""


def create_listening_socket(address: str, port: int) -> socket.socket:
    """Return a listening socket of an IP address.

    The event loop uses one number as the kernel's backlog and as the number of
    connections that it accepts at a time. Pass it ``MAX_ACCEPTED_PER_ITERATION``, and
    then call ``listen(BACKLOG)``.

    :raises OSError: if the address is in use
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    return socket.create_server((address, port), family=family)
