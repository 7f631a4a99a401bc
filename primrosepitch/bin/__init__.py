"""Command line programs."""

import sys

DAEMONS = frozenset(
    (
        "primrose-entry",
        "primrose-planner",
        "primrosepitch.bin.entry",
        "primrosepitch.bin.planner",
    )
)

UNUSED = ("ssl", "_hashlib")
"""Modules that load OpenSSL, which takes 4.7 MB of the 32 MB of a daemon. Nothing here
uses TLS; asyncio works without ``ssl``, and ``hashlib`` has SHA-256 of its own."""


def _leave_out_openssl() -> None:
    """Make the imports of these modules fail, unless they are loaded already."""
    for name in UNUSED:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]


# Only a process that is a daemon may lack modules; importers of this package may not.
if any(arg.rpartition("/")[2] in DAEMONS for arg in sys.orig_argv):
    _leave_out_openssl()
