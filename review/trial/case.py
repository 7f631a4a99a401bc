"""Trial, no case: a work item crashes its worker 2 s after each of its starts.

It belongs to the third entry of KNOWN-RED.txt. The line of BUDGET that it is checked
against stands in issue 31, not in RULES.md.
"""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts.deployment import Deployment, play  # noqa: E402
from parts.http import Answer  # noqa: E402
from parts.worker import Worker  # noqa: E402

CAPACITY = {"cpu": 64000, "memory_request_mb": 131072, "gpu": 0}
DEADLY = secrets.token_hex(8)
CRASH_AFTER_S, DOWN_S, LENGTH_S = 2.0, 1.5, 80.0
STEP = {"count": 1, "cpu": 1000, "memory_request_mb": 100, "estimated_ms": 5000}
crashes: list[float] = []


class CrashingWorker(Worker):
    """A worker that the deadly work item crashes."""

    def _start(self, order: dict) -> Answer:
        before = len(self.history)
        answer = super()._start(order)
        if len(self.history) > before and order["task"].startswith(DEADLY):
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_AFTER_S, self._crash, self._born)
        return answer

    def _crash(self, born: int) -> None:
        if self._born == born and not self.gone:
            crashes.append(time.monotonic())
            asyncio.ensure_future(self.crash_and_start_again(DOWN_S))


async def main() -> int:
    """Play the trial; return 1 if there were over three starts too many."""
    names = {"front-a-1": "zone-a", "front-b-1": "zone-b", "front-c-1": "zone-c"}
    site = Deployment(names, Path(__file__).resolve().parent)
    for number in range(4):
        site.workers.append(
            CrashingWorker(
                f"w{number}",
                "press",
                "zone-a",
                CAPACITY,
                f"r{number}",
                site.store,
                lambda task: 5.0,
            )
        )
    try:
        await site.start()
        await asyncio.sleep(4.0)
        await site.submit(site.nodes[0], "press", [STEP], job=DEADLY)
        await asyncio.sleep(LENGTH_S)
        starts = [run for run in site.history() if run.task.startswith(DEADLY)]
        late = [r for r in starts if sum(at < r.started for at in crashes) >= 3]
        _, state = await site.state(site.nodes[1], "press", DEADLY)
        print(f"{len(crashes)} crashes, {len(late)} starts after three; {state}")
        return 1 if len(late) > 3 else 0
    finally:
        await site.stop()


sys.exit(play(main))
