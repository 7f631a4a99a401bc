"""Print the socket traffic of processes between two outputs of ``ss -tinpH``.

Counts the payload of the TCP connections that are open in both outputs.
"""

from __future__ import annotations

import re
import sys
from collections import defaultdict
from pathlib import Path

SENT = re.compile(r"bytes_sent:(\d+)")
RECEIVED = re.compile(r"bytes_received:(\d+)")
OWNER = re.compile(r"pid=(\d+)")


def read_totals(path: Path) -> dict[tuple[str, str, str], int]:
    """Return the bytes sent and received, by process, local and remote address."""
    lines = path.read_text(encoding="utf-8").splitlines()
    totals = {}
    for head, detail in zip(lines[::2], lines[1::2], strict=False):
        owner = OWNER.search(head)
        if owner is None:
            continue
        local, remote = head.split()[2:4]
        counters = (SENT.search(detail), RECEIVED.search(detail))
        total = sum(int(c.group(1)) for c in counters if c is not None)
        totals[owner.group(1), local, remote] = total
    return totals


def main() -> None:
    """Print one line for each process.

    Arguments: BEFORE AFTER SECONDS PIDS.
    """
    before, after = read_totals(Path(sys.argv[1])), read_totals(Path(sys.argv[2]))
    seconds = float(sys.argv[3])
    traffic: dict[str, int] = defaultdict(int)
    for key in before.keys() & after.keys():
        traffic[key[0]] += after[key] - before[key]
    for line in Path(sys.argv[4]).read_text(encoding="utf-8").splitlines():
        pid, name = line.split()
        print(
            f"idle {name}: {traffic[pid] / seconds / 1000:.2f} KB/s sent and received"
        )


if __name__ == "__main__":
    main()
