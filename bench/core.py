"""Cost of the parts that every process uses: folded state, fold, records."""

from __future__ import annotations

import random
import time
import tracemalloc

from bench.measure import Measure
from primrosepitch.config.model import (
    Document,
    InstanceSpec,
    PoolSpec,
    ServiceSpec,
    TeamSpec,
)
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState

COMMAND = "python -m bench core"
TODAY_SIZE = (6, 30, 5, 8, 3)
TARGET_SIZE = (370, 880, 34, 21, 7)


def documents(teams: int, instances: int, pools: int, dcs: int) -> dict[str, Document]:
    """Return a configuration with one document for each team, pool and rack."""
    docs: dict[str, Document] = {}
    for i in range(pools):
        pool = f"pool{i:02}"
        docs[f"pool-{i:02}.yaml"] = Document(
            pools={pool: PoolSpec()},
            services={pool: ServiceSpec(pool=pool, min_available=1)},
        )
    for i in range(teams):
        team = TeamSpec(share=1 + i % 5, limit=20 + i % 40)
        docs[f"team-{i:03}.yaml"] = Document(teams={f"team{i:03}": team})
    for rack in range(0, instances, 4):
        docs[f"rack-{rack:03}.yaml"] = Document(
            instances={
                f"i{n:03}": InstanceSpec(
                    dc=f"dc{(rack // 4) % dcs}",
                    rack=f"r{rack}",
                    pool=f"pool{n % pools:02}",
                    address=f"127.1.{n // 250}.{n % 250 + 1}",
                    port=9000,
                )
                for n in range(rack, min(rack + 4, instances))
            }
        )
    return docs


def build_state(
    teams: int, instances: int, pools: int, entries: int, dcs: int
) -> FleetState:
    """Return a folded state whose units all entries hold in equal parts."""
    state = FleetState()
    docs = documents(teams, instances, pools, dcs)
    records: list[rec.Record] = [
        rec.ConfigPublished(record_id="c", by="op", base_offset=-1, documents=docs)
    ]
    records += [
        rec.SessionOpened(
            record_id=f"o{i}",
            by=f"s{i}",
            session=f"s{i}",
            role=rec.Role.ENTRY,
            dc=f"dc{i % dcs}",
            instance=f"e{i}",
            peer_address=f"127.2.0.{i + 1}:7000",
        )
        for i in range(entries)
    ]
    for offset, record in enumerate(records):
        fold(state, offset, record)
    for i in range(entries):
        units = {key: max(1, c.total // entries) for key, c in state.counts.items()}
        take = rec.SliceTake(record_id=f"t{i}", by=f"s{i}", units=units)
        fold(state, state.offset + 1, take)
    return state


def state_memory_mb(size: tuple[int, int, int, int, int]) -> float:
    """Return the memory use of a folded state in MB."""
    tracemalloc.start()
    state = build_state(*size)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return used / 1e6


def fold_cost_us(size: tuple[int, int, int, int, int], kind: str, count: int) -> float:
    """Return the processor time of folding one record, in microseconds."""
    teams, _, _, entries, _ = size
    state = build_state(*size)
    rng = random.Random(1)
    start = time.process_time()
    for i in range(count):
        by = f"s{rng.randrange(entries)}"
        team = f"team{rng.randrange(teams):03}"
        record: rec.Record
        if kind == "slice":
            record = rec.SliceGive(record_id=f"x{i}", by=by, units={f"limit/{team}": 1})
        else:
            doc = Document(teams={team: TeamSpec(share=2, limit=50)})
            name = f"team-{team[4:]}.yaml"
            record = rec.ConfigPublished(
                record_id=f"x{i}",
                by=by,
                base_offset=state.config_offset,
                documents={name: doc},
            )
        data = rec.encode_record(record)
        outcome = fold(state, state.offset + 1, rec.decode_record(data))
        assert outcome.void is None, outcome
    return (time.process_time() - start) / count * 1e6


def record_bytes() -> float:
    """Return the size of the record of one changed team, in bytes."""
    doc = Document(teams={"team000": TeamSpec(share=2, limit=50)})
    record = rec.ConfigPublished(
        record_id=rec.new_record_id(),
        by="entry-linz-1-00000000",
        base_offset=123456,
        documents={"team-000.yaml": doc},
    )
    return len(rec.encode_record(record))


def run() -> list[Measure]:
    """Measure at today's and at the target size."""
    measures = []
    for label, size in (("today", TODAY_SIZE), ("target", TARGET_SIZE)):
        memory = state_memory_mb(size)
        measures.append(_measure(f"folded state, {label}", memory, "MB", "32 a node"))
        for kind, count in (("slice", 2000), ("config", 50)):
            cost = fold_cost_us(size, kind, count)
            measures.append(
                _measure(f"fold of one {kind} record, {label}", cost, "us", "-", 1)
            )
    measures.append(
        _measure("record of one changed team", record_bytes(), "bytes", "-")
    )
    return measures


def _measure(name: str, value: float, unit: str, bound: str, seed: int = -1) -> Measure:
    return Measure(name, value, unit, bound, "-", seed, COMMAND)
