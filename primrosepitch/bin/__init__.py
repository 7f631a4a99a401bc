"""Command-line programs and daemons."""

import sys

DAEMONS = frozenset(
    (
        "primrose-entry",
        "primrose-planner",
        "primrosepitch.bin.entry",
        "primrosepitch.bin.planner",
    )
)

OPENSSL_MODULES = ("ssl", "_hashlib")
"""Modules that load OpenSSL, which takes 4.7 MB of a daemon's 32 MB of memory. The
daemons do not use TLS; asyncio works without ``ssl``, and ``hashlib`` has its own
implementation of SHA-256."""


def _block_openssl() -> None:
    """Make imports of these modules fail unless they are already loaded."""
    for name in OPENSSL_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]


# Only daemons run without these modules; other importers of this package keep them.
if any(arg.rpartition("/")[2] in DAEMONS for arg in sys.orig_argv):
    _block_openssl()
