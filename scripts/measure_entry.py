"""Measure the memory and the processor time of a running entry.

Prints resident memory, processor time while idle, and processor time per request over
keep-alive connections, from the kernel's accounting of the process.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import time
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process in kB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(s.split()[1]) for s in lines if s.startswith("VmRSS:"))


async def _send_requests(address: str, target: str, count: int, key: str) -> int:
    """Send requests over one connection and return the number answered."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"GET {target} HTTP/1.1\r\nhost: {address}\r\n"
    head += f"primrose-key: {key}\r\n" if key else ""
    answered = 0
    for _ in range(count):
        writer.write(f"{head}\r\n".encode())
        response = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = response.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length))
        answered += b"primrose-outcome: answered" in response
    writer.close()
    return answered


async def _run_load(options: argparse.Namespace) -> tuple[int, float]:
    """Send all requests.

    :returns: number of answered requests, and duration in seconds
    """
    requests_per_caller = options.requests // options.callers
    started = time.monotonic()
    callers = [
        _send_requests(options.entry, options.target, requests_per_caller, options.key)
        for _ in range(options.callers)
    ]
    answered = sum(await asyncio.gather(*callers))
    return answered, time.monotonic() - started


def main() -> None:
    """Measure the entry and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pid", type=int, required=True)
    parser.add_argument("--entry", required=True, help="IP:port for callers")
    parser.add_argument("--target", default="/q/quotes/1")
    parser.add_argument("--key", default="")
    parser.add_argument("--requests", type=int, default=20000)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--idle-s", type=float, default=30.0)
    options = parser.parse_args()
    print(f"resident before load: {resident_kb(options.pid)} kB")
    start = cpu_s(options.pid)
    time.sleep(options.idle_s)
    idle = (cpu_s(options.pid) - start) / options.idle_s
    print(f"idle: {100 * idle:.2f} % of a core over {options.idle_s:.0f} s")
    start = cpu_s(options.pid)
    answered, seconds = asyncio.run(_run_load(options))
    used = cpu_s(options.pid) - start
    sent = options.requests // options.callers * options.callers
    print(f"answered: {answered} of {sent} in {seconds:.1f} s")
    print(f"processor time: {1e6 * used / sent:.0f} us a request")
    print(f"resident after load: {resident_kb(options.pid)} kB")


if __name__ == "__main__":
    main()
