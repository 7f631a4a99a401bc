"""Time from accepting a configuration until it is in force in every process."""

from __future__ import annotations

import asyncio
import time

from bench.measure import Measure
from primrosepitch.bin.entry import Entry
from primrosepitch.settings import Settings
from primrosepitch.trace import NullRecorder
from standins.http import call
from standins.platform import Platform

COMMAND = "python -m bench rollout"
PUBLICATIONS = 60


def _make_entry(platform: Platform, number: int, dcs: int) -> Entry:
    settings = Settings(
        name=f"e{number}",
        dc=f"dc{number % dcs}",
        instance=f"i{number}",
        address="127.0.0.1",
        platform=f"127.0.0.1:{platform.server.port}",
        http_port=0,
        peer_port=0,
    )
    return Entry(settings, NullRecorder())


async def _publish(entry: Entry, number: int) -> int:
    """Publish one changed team.

    :returns: offset at which it was accepted
    """
    document = {"teams": {"growers": {"limit": 10 + number}}}
    if number == 0:
        document |= {"pools": {"p": {}}, "services": {"q": {"pool": "p"}}}
    body = {
        "base_offset": entry.fleet().config_offset,
        "documents": {"a.yaml" if number == 0 else "b.yaml": document},
    }
    if number == 0:
        del document["teams"]
    answer = await call(entry.http_address(), "POST", "/-/config", body)
    assert answer.status == 200, answer.body
    offset: int = answer.json()["offset"]
    return offset


async def measure(entries: int, dcs: int) -> list[float]:
    """Publish changes and wait until all entries have folded each one.

    :returns: sorted times in seconds, one for each entry and publication
    """
    platform = Platform()
    await platform.start()
    running = [_make_entry(platform, n, dcs) for n in range(entries)]
    tasks = [asyncio.ensure_future(e.run()) for e in running]
    while not all(e.state.may_dispatch for e in running):
        await asyncio.sleep(0.02)
    times = []
    for number in range(PUBLICATIONS):
        start = time.perf_counter()
        offset = await _publish(running[number % entries], number)
        missing = set(range(entries))
        while missing:
            now = time.perf_counter() - start
            reached = {n for n in missing if running[n].fleet().config_offset >= offset}
            times += [now] * len(reached)
            missing -= reached
            await asyncio.sleep(0.002)
    for entry in running:
        entry.stop()
    await asyncio.gather(*tasks)
    await platform.stop()
    return sorted(times)


def run() -> list[Measure]:
    """Measure the roll-out with two numbers of entries."""
    measures = []
    for label, entries, dcs in (("today", 8, 3), ("21 entries", 21, 7)):
        times = asyncio.run(measure(entries, dcs))
        for name, fraction in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
            value = times[min(len(times) - 1, int(fraction * len(times)))]
            measures.append(
                Measure(
                    f"roll-out {name}, {label}, one process",
                    value,
                    "s",
                    "7",
                    "-",
                    -1,
                    COMMAND,
                )
            )
    return measures
