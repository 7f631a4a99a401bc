"""Run the benchmarks, print one table and write the results as JSON."""

from __future__ import annotations

import importlib
import json
import pkgutil
import sys
import time
from pathlib import Path

import bench
from bench.measure import Measure

RESULTS = Path("run/bench.json")
EXCLUDED_MODULES = {"__main__", "measure"}


def benchmark_modules() -> list[str]:
    """Return the names of the benchmark modules."""
    names = [m.name for m in pkgutil.iter_modules(bench.__path__)]
    return sorted(n for n in names if n not in EXCLUDED_MODULES)


def run_module(name: str) -> list[Measure]:
    """Run one benchmark module and print its duration."""
    print(f"bench: {name} ...", file=sys.stderr, flush=True)
    module = importlib.import_module(f"bench.{name}")
    if not hasattr(module, "run"):
        return []
    start = time.monotonic()
    measures: list[Measure] = module.run()
    took_s = time.monotonic() - start
    print(f"bench: {name} took {took_s:.1f} s", file=sys.stderr, flush=True)
    return measures


def print_table(measures: list[Measure]) -> None:
    """Print one line per measure."""
    head = ("measure", "value", "unit", "bound", "baseline", "seed", "command")
    rows = [head]
    for m in measures:
        value = f"{m.value:.4g}" if isinstance(m.value, float) else str(m.value)
        seed = "-" if m.seed < 0 else str(m.seed)
        rows.append((m.name, value, m.unit, m.bound, m.baseline, seed, m.command))
    widths = [max(len(row[i]) for row in rows) for i in range(len(head))]
    for row in rows:
        print(
            "  ".join(
                cell.ljust(width) for cell, width in zip(row, widths, strict=True)
            ).rstrip()
        )


def main(names: list[str]) -> int:
    """Run the named benchmark modules, or all, and write the results."""
    measures: list[Measure] = []
    for name in names or benchmark_modules():
        measures += run_module(name)
    print_table(measures)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps([m._asdict() for m in measures], indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
