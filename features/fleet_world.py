"""A small fleet whose log is folded at once and written by short text commands."""

import msgspec

from primrosepitch.config.model import Document
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.fold import fold
from primrosepitch.fleet.state import FleetState

DCS = ("a", "b", "c")


def document(racks=1, per_rack=2, minimum=4, **changes):
    """Return a document with pools ``press`` and ``spare`` in three data centres.

    :param changes: values by ``section`` or ``section__name``; ``None`` removes a name
    """
    instances = {}
    for dc in DCS:
        for rack in range(1, racks + 1):
            for n in range(1, per_rack + 1):
                instances[f"{dc}{rack}{n}"] = {"pool": "press", "rack": f"r{rack}"}
        instances[f"{dc}s"] = {"pool": "spare", "rack": "rs"}
    for n, (name, spec) in enumerate(instances.items()):
        spec |= {"dc": name[0], "address": f"127.0.9.{n}", "port": 80, "slots": 4}
    raw = {
        "pools": {"press": {}, "spare": {"spare": True}, "still": {}},
        "services": {"press": {"pool": "press", "min_available": minimum}},
        "teams": {"red": {"limit": 9, "keys": {"k1": {"salt": "s", "digest": "d"}}}},
        "instances": instances,
    }
    for path, value in changes.items():
        section, _, name = path.partition("__")
        if value is None:
            raw[section].pop(name)
        elif name:
            raw[section][name] = value
        else:
            raw[section] = value
    return msgspec.convert(raw, Document)


class Log:
    """In-memory log that folds each record when it is appended."""

    def __init__(self):
        self.records = []
        self.state = FleetState()

    def append(self, record):
        self.records.append(record)
        return fold(self.state, len(self.records) - 1, record)

    def publish(self, doc, by="op", base=None):
        base = self.state.config_offset if base is None else base
        record_id = f"r{len(self.records)}"
        return self.append(
            rec.ConfigPublished(
                record_id=record_id, by=by, base_offset=base, documents={"f": doc}
            )
        )

    def run(self, by, text, number=None):
        """Append the record of a command such as ``drain a11 reboot``."""
        number = len(self.records) if number is None else number
        return self.append(stamp(command_record(self.state, by, text), by, number))


def stamp(record, by, number):
    return msgspec.structs.replace(record, record_id=f"r{number}", by=by)


def command_record(state, by, text):
    """Return the record of a text command, without its id."""
    name, *args = text.split()
    dc = by[1] if len(by) > 1 else ""
    lease = state.leases.get(dc)
    fencing = {"dc": dc, "term": lease.term if lease else 0}
    header = {"record_id": "", "by": by}
    return COMMANDS[name](state, fencing, header, *args)


def _drain(state, fencing, header, name, reason, *fields):
    options = dict(m.split("=") for m in fields)
    base = int(options.pop("base", state.offset))
    if header["by"].startswith("p"):
        options |= fencing
    return rec.DrainStarted(
        **header,
        instance=name,
        reason=rec.DrainReason(reason),
        base_offset=base,
        **options,
    )


def _open(state, fencing, header, session):
    role = rec.Role.PLANNER if session[0] == "p" else rec.Role.ENTRY
    return rec.SessionOpened(
        **header,
        session=session,
        role=role,
        dc=session[1],
        instance=session,
        peer_address=session,
    )


COMMANDS = {
    "open": _open,
    "close": lambda s, f, b, x: rec.SessionClosed(**b, session=x),
    "end": lambda s, f, b, x: rec.SessionEnded(
        **b, session=x, proof=rec.Proof.FENCED, renewed_offset=s.offset
    ),
    "settle": lambda s, f, b, x: rec.SessionSettled(**b, session=x),
    "lease": lambda s, f, b, t, dc="", seen=None: rec.PlannerLease(
        **b,
        dc=dc or f["dc"],
        session=b["by"],
        term=int(t),
        renewed_offset=int(seen or s.offset),
    ),
    "up": lambda s, f, b, x, i="": rec.InstanceUp(**b, **f, instance=x, incarnation=i),
    "down": lambda s, f, b, x: rec.InstanceDown(**b, **f, instance=x),
    "drain": _drain,
    "cancel": lambda s, f, b, x: rec.DrainCancelled(**b, instance=x),
    "stop": lambda s, f, b, x, i="": rec.StopRequested(
        **b, **f, instance=x, incarnation=i
    ),
    "moved": lambda s, f, b, x: rec.MoveFinished(**b, **f, instance=x),
    "wave": lambda s, f, b, w, n, *x: rec.WaveStarted(
        **b, wave=w, instances=list(x), max_parallel=int(n)
    ),
    "pause": lambda s, f, b, w: rec.WavePaused(**b, wave=w),
    "resume": lambda s, f, b, w: rec.WaveResumed(**b, wave=w),
    "take": lambda s, f, b, k, n: rec.SliceTake(**b, units={k: int(n)}),
    "give": lambda s, f, b, k, n: rec.SliceGive(**b, units={k: int(n)}),
    "withdraw": lambda s, f, b, k: rec.KeyWithdrawn(**b, key_id=k),
    "key": lambda s, f, b, t, k: rec.KeyGiven(
        **b, team=t, key_id=k, salt="s", digest="d"
    ),
}


def running_log(minimum=4, **options):
    """Return a log with a configuration, leases, entries and all instances up."""
    log = Log()
    log.publish(document(minimum=minimum, **options))
    for dc in DCS:
        log.run("op", f"open p{dc}")
        log.run("op", f"open e{dc}")
        log.run(f"p{dc}", "lease 1")
    for name in list(log.state.instances):
        assert log.run(f"p{name[0]}", f"up {name} boot1").void is None
    return log
