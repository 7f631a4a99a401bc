"""Measure memory, processor time and loopback traffic of running processes.

Reads the kernel's accounting of each process, and the bytes sent over the loopback
interface, at the start and at the end of an interval.
"""

from __future__ import annotations

import argparse
import os
import re
import time
from pathlib import Path
from typing import NamedTuple

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Sample(NamedTuple):
    """Resource usage of a process so far.

    :param cpu_s: processor time in seconds
    :param rss_kb: resident set size
    :param pss_kb: proportional set size: shared pages divided among their users
    """

    cpu_s: float
    rss_kb: int
    pss_kb: int


def read_sample(pid: int) -> Sample:
    """Read the resource usage of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    rollup = Path(f"/proc/{pid}/smaps_rollup").read_text()
    sizes = dict(re.findall(r"^(Rss|Pss): +(\d+)", rollup, re.MULTILINE))
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return Sample(cpu_s, int(sizes["Rss"]), int(sizes["Pss"]))


def loopback_bytes() -> int:
    """Return the number of bytes sent over the loopback interface."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[8])
    return 0


def main() -> None:
    """Print one line for each process and the rate of the loopback interface."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("pids", type=Path, help="file with lines: PID NAME")
    args = parser.parse_args()
    rows = [line.split() for line in args.pids.read_text().splitlines()]
    before = {name: read_sample(int(pid)) for pid, name in rows}
    sent = loopback_bytes()
    time.sleep(args.seconds)
    rate = (loopback_bytes() - sent) / args.seconds / 1000
    for pid, name in rows:
        now = read_sample(int(pid))
        cpu = 100 * (now.cpu_s - before[name].cpu_s) / args.seconds
        print(
            f"idle {name}: {cpu:.2f} % of a core, {now.rss_kb} kB resident,"
            f" {now.pss_kb} kB proportional"
        )
    print(f"idle loopback: {rate:.2f} KB/s among {len(rows)} processes and platform")


if __name__ == "__main__":
    main()
