"""Program ``primrosectl``: command-line client of the operators' HTTP API."""

from __future__ import annotations

import functools
import getpass
import ipaddress
import os
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Annotated, Any, NoReturn

import msgspec
import typer
import yaml

from primrosepitch import __version__
from primrosepitch.config.diff import diff as diff_documents
from primrosepitch.config.loader import load_folder
from primrosepitch.errors import (
    AppendUnconfirmedError,
    ConfigConflictError,
    EntryUnreachableError,
    PrimroseError,
)
from primrosepitch.fleet import records as rec
from primrosepitch.fleet.state import FleetState, Phase, SessionState
from primrosepitch.ids import (
    InstanceId,
    KeyId,
    Offset,
    PoolId,
    SessionId,
    TeamId,
    WaveId,
)
from primrosepitch.operators import commands as cmd
from primrosepitch.operators.client import OperatorClient
from primrosepitch.operators.job_timeline import LogLine, job_timeline, parse_log_lines
from primrosepitch.operators.messages import ConfigView, FleetView
from primrosepitch.planning import waves
from primrosepitch.teams.keys import new_key

__all__ = ["app", "main"]

EXIT_REFUSED = 1
EXIT_RACE = 3
EXIT_LAGGING = 4
EXIT_UNCONFIRMED = 5
EXIT_CODES = """Exit codes: 0 done; 1 refused or wrong; 2 wrong usage; 3 changed by
another operator; 4 not in force everywhere in time; 5 no entry reached or the outcome
is unknown."""

KEY_BYTES = 32
WITHDRAWAL_TIMEOUT_S = 7.0

app = typer.Typer(
    help=f"Operate a fleet. {EXIT_CODES}",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    add_completion=False,
)
MAX_PORT = 65536

key_app = typer.Typer(help="Keys of teams.", no_args_is_help=True)
wave_app = typer.Typer(help="Maintenance waves.", no_args_is_help=True)
app.add_typer(key_app, name="key")
app.add_typer(wave_app, name="wave")

Folder = Annotated[Path, typer.Argument(help="Folder of YAML files.")]
Entries = Annotated[
    list[str],
    typer.Option(
        "--entry",
        envvar="PRIMROSE_ENTRY",
        help="IP:PORT of an entry; repeat it to name alternatives.",
    ),
]
Timeout = Annotated[float, typer.Option(help="Timeout of one exchange in seconds.")]
DryRun = Annotated[
    bool,
    typer.Option("--dry-run", help="Print what would be done, or why it is refused."),
]
Operator = Annotated[str, typer.Option(help="Operator's name to record in the log.")]


def _exit_code(exc: PrimroseError) -> int:
    if isinstance(exc, ConfigConflictError):
        return EXIT_RACE
    if isinstance(exc, AppendUnconfirmedError | EntryUnreachableError):
        return EXIT_UNCONFIRMED
    return EXIT_REFUSED


def report_errors(command: Callable[..., None]) -> Callable[..., None]:
    """Print errors of the project and exit with the exit code of their class."""

    @functools.wraps(command)
    def run(*args: Any, **kwargs: Any) -> None:
        try:
            command(*args, **kwargs)
        except PrimroseError as exc:
            _fail(str(exc), _exit_code(exc))

    return run


def _fail(message: str, code: int) -> NoReturn:
    print(message, file=sys.stderr)
    raise typer.Exit(code)


def _print_table(header: Iterable[str], rows: Iterable[Iterable[object]]) -> None:
    """Print rows in aligned columns."""
    lines = [list(header), *([str(v) for v in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(lines[0]))]
    for line in lines:
        cells = (v.ljust(w) for v, w in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())


@app.callback(invoke_without_command=True)
def options(
    version: Annotated[
        bool, typer.Option("--version", help="Print the version.")
    ] = False,
    check: Annotated[
        bool, typer.Option("--check", help="Check the addresses of PRIMROSE_ENTRY.")
    ] = False,
) -> None:
    """Operate a fleet."""
    if version:
        print(f"primrosectl {__version__}")
        raise typer.Exit
    if check:
        _check_entries(os.environ.get("PRIMROSE_ENTRY", "").split())
        raise typer.Exit


def _check_entries(entries: list[str]) -> None:
    """Exit with an error unless each address is an IP number and a port."""
    if not entries:
        _fail("PRIMROSE_ENTRY is not set: set it or use --entry", EXIT_REFUSED)
    for entry in entries:
        address, _, port = entry.rpartition(":")
        try:
            ipaddress.ip_address(address.strip("[]"))
            valid = 0 < int(port) < MAX_PORT
        except ValueError:
            valid = False
        if not valid:
            _fail(f"PRIMROSE_ENTRY: {entry} is not IP:PORT", EXIT_REFUSED)
    print(f"{len(entries)} entries are named")


# Configuration


@app.command()
@report_errors
def explain(
    job: Annotated[str, typer.Argument(help="Id of the job.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if none.")
    ] = None,
) -> None:
    """Print the timeline of a job from the nodes' log lines."""
    texts: list[str] = []
    for file in files or []:
        texts += file.read_text(encoding="utf-8", errors="replace").splitlines()
    rows = list(parse_log_lines(texts if files else sys.stdin))
    malformed = [row for row in rows if isinstance(row, str)]
    timeline = job_timeline(job, (row for row in rows if isinstance(row, LogLine)))
    for line in timeline:
        typer.echo(line)
    if malformed:
        typer.echo(f"{len(malformed)} malformed lines were skipped", err=True)
    if not timeline:
        _fail(
            f"no line names job {job}: pass the logs of all nodes, starting before "
            "the job was submitted",
            1,
        )


@app.command()
@report_errors
def validate(folder: Folder) -> None:
    """Check a folder; prints each error with file, line, setting and remedy."""
    documents = load_folder(folder)
    print(f"{folder.name}: {len(documents)} files are valid")


@app.command()
@report_errors
def publish(
    folder: Folder,
    entry: Entries,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until it is in force everywhere.")
    ] = False,
    wait_s: Annotated[float, typer.Option(help="Longest wait in seconds.")] = 30.0,
    base: Annotated[
        int | None,
        typer.Option(help="Offset of the configuration that the folder changes."),
    ] = None,
    operator: Operator = "",
    timeout: Timeout = 10.0,
) -> None:
    """Publish a folder; prints the offset at which it was accepted."""
    client = OperatorClient(entry, timeout)
    known = None if base is None else Offset(base)
    done = cmd.publish(client, folder, operator or getpass.getuser(), known)
    for change in done.changes:
        print(f"  {change}")
    what = "accepted at" if done.published else "in force already since"
    print(f"{what} offset {done.offset}")
    if wait:
        _wait_in_force(client, done.offset, wait_s)


def _wait_in_force(client: OperatorClient, offset: Offset, wait_s: float) -> None:
    """Wait until all processes folded an offset; exit with an error if some lag."""
    spread = cmd.wait_in_force(
        client, lambda p: p.offset is not None and p.offset >= offset, wait_s
    )
    for place in spread.lagging:
        print(f"lags: {place}")
    if spread.lagging or not spread.reached:
        _fail(f"not in force everywhere after {wait_s} s", EXIT_LAGGING)
    print(f"in force in {len(spread.reached)} processes")


@app.command()
@report_errors
def show(
    entry: Entries,
    write: Annotated[
        Path | None, typer.Option(help="Folder to write the files to.")
    ] = None,
    timeout: Timeout = 10.0,
) -> None:
    """Print the configuration in force, or write it to a folder for editing."""
    view = OperatorClient(entry, timeout).config()
    if write is None:
        for name, text in _file_texts(view).items():
            print(f"# {name}\n{text}")
        print(f"# in force since offset {view.offset}")
        return
    write.mkdir(parents=True, exist_ok=True)
    for name, text in _file_texts(view).items():
        (write / name).write_text(text, encoding="utf-8")
    cmd.save_base(write, view)
    print(f"{len(view.documents)} files of offset {view.offset} written to {write}")


def _file_texts(view: ConfigView) -> dict[str, str]:
    """Return file texts by base name, so that no name points outside the folder."""
    return {
        Path(name).name: yaml.safe_dump(_without_defaults(doc), sort_keys=False)
        for name, doc in sorted(view.documents.items())
    }


def _without_defaults(value: Any) -> Any:
    """Return a document as plain values, without settings that equal their defaults."""
    if isinstance(value, dict):
        return {k: _without_defaults(v) for k, v in value.items()}
    if not isinstance(value, msgspec.Struct):
        return msgspec.to_builtins(value)
    found = {}
    for field in msgspec.structs.fields(type(value)):
        inner = getattr(value, field.name)
        if field.default_factory is not msgspec.NODEFAULT:
            default = field.default_factory()
        else:
            default = field.default
        if inner != default:
            found[field.name] = _without_defaults(inner)
    return found


@app.command("diff")
@report_errors
def show_diff(folder: Folder, entry: Entries, timeout: Timeout = 10.0) -> None:
    """Print what publishing a folder would change."""
    view = OperatorClient(entry, timeout).config()
    changes = diff_documents(view.documents, load_folder(folder))
    for change in changes:
        print(change)
    print(f"{len(changes)} settings differ from offset {view.offset}")


@app.command()
@report_errors
def status(entry: Entries, timeout: Timeout = 10.0) -> None:
    """Print processes, pools, teams and waves as one entry sees them."""
    client = OperatorClient(entry, timeout)
    view, fleet, config = client.status(), client.fleet(), client.config()
    log = "up" if view.log_contact else "down"
    print(f"log {log}, generation {view.generation}, offset {view.offset},")
    print(f"configuration of offset {config.offset}\n")
    _print_table(
        ("SESSION", "ROLE", "DC", "OFFSET"),
        (
            (p.session, p.role, p.dc, "-" if p.offset is None else p.offset)
            for p in cmd.list_places(client)
        ),
    )
    print()
    _print_table(
        ("POOL", "AVAILABLE", "INSTANCES", "NEEDED"), _pool_rows(fleet, config)
    )
    print()
    _print_table(
        ("TEAM", "RUNNING", "WAITING", "HELD", "LIMIT"),
        (
            (name, t.running, t.waiting, t.held, _team_limit(config, name))
            for name, t in sorted(view.teams.items())
        ),
    )
    if fleet.waves:
        print()
        _print_waves(fleet)


def _pool_rows(fleet: FleetView, config: ConfigView) -> Iterable[tuple[object, ...]]:
    state = fleet.state(config)
    for pool in sorted(state.config.pools):
        size = sum(i.pool == pool for i in state.instances.values())
        services = state.config.services.values()
        needed = max((s.min_available for s in services if s.pool == pool), default=0)
        yield pool, state.available_in(pool), size, needed


def _team_limit(config: ConfigView, team: TeamId) -> object:
    specs = (doc.teams.get(team) for doc in config.documents.values())
    return next((s.limit for s in specs if s is not None), "-")


# Keys


@key_app.command("give")
@report_errors
def key_give(
    team: str, entry: Entries, dry_run: DryRun = False, timeout: Timeout = 10.0
) -> None:
    """Give a team a new key and print it; it is not shown again."""
    client = OperatorClient(entry, timeout)
    _give_key(client, TeamId(team), dry_run)


def _give_key(client: OperatorClient, team: TeamId, dry_run: bool) -> KeyId:
    raw, key_id, spec = new_key(os.urandom(KEY_BYTES))
    record = rec.KeyGiven(
        team=team, key_id=key_id, salt=spec.salt, digest=spec.digest, **_PROCESS_FIELDS
    )
    if _handle_dry_run(client, record, dry_run, f"give a key to team {team}"):
        return key_id
    done = cmd.run_command(client, record, lambda v: v.keys.get(key_id) == team)
    print(f"key of team {team}, id {key_id}, offset {done.offset}; shown only once:")
    print(raw)
    return key_id


@key_app.command("rotate")
@report_errors
def key_rotate(
    team: str,
    entry: Entries,
    withdraw: Annotated[
        bool, typer.Option("--withdraw", help="Withdraw the old keys immediately.")
    ] = False,
    dry_run: DryRun = False,
    timeout: Timeout = 10.0,
) -> None:
    """Give a team a new key, and list or withdraw its old ones."""
    client = OperatorClient(entry, timeout)
    old = sorted(k for k, t in client.fleet().keys.items() if t == team)
    _give_key(client, TeamId(team), dry_run)
    for key_id in old:
        if not withdraw:
            print(f"still works: {key_id}; withdraw it when the team has changed over")
        elif not _handle_dry_run(
            client, _withdrawal(key_id), dry_run, f"withdraw key {key_id}"
        ):
            _withdraw_key(client, key_id, WITHDRAWAL_TIMEOUT_S)


def _withdrawal(key_id: KeyId) -> rec.KeyWithdrawn:
    return rec.KeyWithdrawn(key_id=key_id, **_PROCESS_FIELDS)


@key_app.command("withdraw")
@report_errors
def key_withdraw(
    key_id: str,
    entry: Entries,
    wait_s: Annotated[
        float, typer.Option(help="Longest wait in seconds.")
    ] = WITHDRAWAL_TIMEOUT_S,
    dry_run: DryRun = False,
    timeout: Timeout = 10.0,
) -> None:
    """Withdraw a key and report where the withdrawal is in force."""
    client = OperatorClient(entry, timeout)
    key = KeyId(key_id)
    if key not in client.fleet().keys:
        print(f"no working key has the id {key_id}; withdrawing it anyway")
    if not _handle_dry_run(client, _withdrawal(key), dry_run, f"withdraw key {key_id}"):
        _withdraw_key(client, key, wait_s)


def _withdraw_key(client: OperatorClient, key: KeyId, wait_s: float) -> None:
    done = cmd.run_command(client, _withdrawal(key), lambda v: key in v.withdrawn)
    if done.pending:
        print(f"key {key} withdrawn; the log is down and gets it later")
    else:
        print(f"key {key} withdrawn at offset {done.offset}")

    def in_force(place: cmd.Place) -> bool:
        folded = place.offset is not None and place.offset >= done.offset
        return key in place.pending or (folded and not done.pending)

    spread = cmd.wait_in_force(client, in_force, wait_s)
    for place in spread.reached:
        print(f"in force: {place}")
    for place in spread.lagging:
        print(f"not in force: {place}")
    for dc in spread.missed_dcs:
        print(f"data centre {dc} could not be reached")
    if spread.lagging or not spread.reached:
        _fail(f"not in force everywhere after {wait_s} s", EXIT_LAGGING)


# Fleet

_PROCESS_FIELDS: dict[str, Any] = {
    "record_id": cmd.UNASSIGNED_RECORD_ID,
    "by": cmd.OPERATOR_SESSION,
}


def _handle_dry_run(
    client: OperatorClient, record: rec.Record, dry_run: bool, what: str
) -> bool:
    """Print what a command would do, if this is a dry run.

    :returns: whether this is a dry run
    """
    if not dry_run:
        return False
    state = client.fleet().state(client.config())
    problem = cmd.void_reason(state, record)
    print(f"would {what}")
    if problem:
        _fail(f"but it would be void: {problem}", EXIT_REFUSED)
    return True


def _run_command(
    client: OperatorClient,
    record: rec.Record,
    done: Callable[[FleetView], bool],
    dry_run: bool,
    what: str,
) -> None:
    """Run a command, or its dry run, and print the result."""
    if _handle_dry_run(client, record, dry_run, what):
        return
    accepted = cmd.run_command(client, record, done)
    print(f"accepted: {what}; offset {accepted.offset}")


@app.command()
@report_errors
def fence(
    session: str,
    entry: Entries,
    powered_off: Annotated[
        bool,
        typer.Option(
            "--powered-off",
            help="Attest that the instance of the session is powered off.",
        ),
    ] = False,
    dry_run: DryRun = False,
    timeout: Timeout = 10.0,
) -> None:
    """End a lost session; its units are freed after the longest request time."""
    if not powered_off and not dry_run:
        _fail(
            "attest with --powered-off that its instance is powered off", EXIT_REFUSED
        )
    client = OperatorClient(entry, timeout)
    sid = SessionId(session)
    found = client.fleet().sessions.get(sid)
    record = rec.SessionEnded(
        session=sid,
        proof=rec.Proof.FENCED,
        renewed_offset=found.renewed if found else Offset(-1),
        **_PROCESS_FIELDS,
    )

    def done(view: FleetView) -> bool:
        ended = view.sessions.get(sid)
        return ended is not None and ended.state is SessionState.ENDED

    _run_command(client, record, done, dry_run, f"end session {session}")


@app.command()
@report_errors
def drain(
    instance: str,
    entry: Entries,
    reason: Annotated[
        rec.DrainReason, typer.Option(help="Action after the drain: reboot or stop.")
    ] = rec.DrainReason.REBOOT,
    cancel: Annotated[
        bool, typer.Option("--cancel", help="Cancel the drain instead.")
    ] = False,
    dry_run: DryRun = False,
    timeout: Timeout = 10.0,
) -> None:
    """Drain an instance and reboot or stop it, as availability budgets allow."""
    client = OperatorClient(entry, timeout)
    name = InstanceId(instance)
    if cancel:
        record = rec.DrainCancelled(instance=name, cause="operator", **_PROCESS_FIELDS)
        _run_command(
            client, record, _never_done, dry_run, f"cancel the drain of {instance}"
        )
        return
    if reason is rec.DrainReason.MOVE:
        _fail("use `primrosectl move` to move an instance", EXIT_REFUSED)
    _start_drain(client, name, reason, None, dry_run)


@app.command()
@report_errors
def move(
    instance: str,
    pool: str,
    entry: Entries,
    dry_run: DryRun = False,
    timeout: Timeout = 10.0,
) -> None:
    """Drain an instance and move it to another pool, as availability budgets allow."""
    client = OperatorClient(entry, timeout)
    _start_drain(
        client, InstanceId(instance), rec.DrainReason.MOVE, PoolId(pool), dry_run
    )


def _never_done(view: FleetView) -> bool:
    """Return false, so that a command is sent whatever is in force."""
    return False


def _start_drain(
    client: OperatorClient,
    name: InstanceId,
    reason: rec.DrainReason,
    to_pool: PoolId | None,
    dry_run: bool,
) -> None:
    record = rec.DrainStarted(
        instance=name,
        reason=reason,
        base_offset=client.fleet().offset,
        to_pool=to_pool,
        **_PROCESS_FIELDS,
    )

    def done(view: FleetView) -> bool:
        inst = view.instances.get(name)
        return (
            inst is not None
            and inst.phase is not Phase.ACTIVE
            and (inst.reason, inst.to_pool) == (reason, to_pool)
        )

    target = f" to {to_pool}" if to_pool else ""
    what = f"drain {name} for a {reason.value}{target}"
    _run_command(client, record, done, dry_run, what)


# Waves


@wave_app.command("start")
@report_errors
def wave_start(
    entry: Entries,
    instances: Annotated[list[str] | None, typer.Argument()] = None,
    pool: Annotated[str, typer.Option(help="All instances of a pool.")] = "",
    everything: Annotated[
        bool, typer.Option("--all", help="All instances of the fleet.")
    ] = False,
    max_parallel: Annotated[
        int, typer.Option(min=1, help="Most instances stopped at a time.")
    ] = 4,
    name: Annotated[str, typer.Option(help="Name of the wave.")] = "",
    dry_run: DryRun = False,
    timeout: Timeout = 10.0,
) -> None:
    """Reboot instances in batches, rack by rack, as availability budgets allow."""
    client = OperatorClient(entry, timeout)
    fleet, config = client.fleet(), client.config()
    chosen = [InstanceId(i) for i in instances or []] or sorted(
        (n for n, i in fleet.instances.items() if everything or i.pool == pool),
        key=lambda n: (fleet.instances[n].dc, fleet.instances[n].rack, n),
    )
    if not chosen:
        _fail("name instances, or use --pool or --all", EXIT_REFUSED)
    wave = WaveId(name or time.strftime("wave-%Y%m%d-%H%M%S"))
    record = rec.WaveStarted(
        wave=wave, instances=chosen, max_parallel=max_parallel, **_PROCESS_FIELDS
    )
    if dry_run:
        _print_first_steps(fleet.state(config), record)

    def done(view: FleetView) -> bool:
        return wave in view.waves and view.waves[wave].instances == chosen

    what = f"start wave {wave} over {len(chosen)} instances"
    _run_command(client, record, done, dry_run, what)


def _print_first_steps(state: FleetState, wave: rec.WaveStarted) -> None:
    """Print for each instance whether the wave would stop it at its start."""
    for step in waves.dry_run(state, wave.instances, wave.max_parallel):
        why = f": {step.reason}" if step.reason else ""
        print(f"{step.instance} {step.kind.value}{why}")


@wave_app.command("status")
@report_errors
def wave_status(entry: Entries, timeout: Timeout = 10.0) -> None:
    """Print the state of all waves."""
    _print_waves(OperatorClient(entry, timeout).fleet())


def _print_waves(fleet: FleetView) -> None:
    _print_table(
        ("WAVE", "STATE", "DONE", "OF", "CAUSE"),
        (
            (name, w.state.value, len(w.done), len(w.instances), w.cause)
            for name, w in sorted(fleet.waves.items())
        ),
    )


def _add_wave_command(
    name: str, kind: Callable[..., rec.Record], state: str, help_text: str
) -> None:
    """Register a command that changes the state of a wave.

    :param kind: class of the record that the command appends
    :param state: state of the wave once the command is in force
    """

    def run(
        wave: str, entry: Entries, dry_run: DryRun = False, timeout: Timeout = 10.0
    ) -> None:
        wid = WaveId(wave)

        def done(view: FleetView) -> bool:
            return wid in view.waves and view.waves[wid].state.value == state

        record = kind(wave=wid, **_PROCESS_FIELDS)
        client = OperatorClient(entry, timeout)
        _run_command(client, record, done, dry_run, f"{name} wave {wave}")

    wave_app.command(name, help=help_text)(report_errors(run))


_add_wave_command(
    "pause", rec.WavePaused, "paused", "Pause a wave; no further instances are stopped."
)
_add_wave_command("resume", rec.WaveResumed, "running", "Resume a paused wave.")
_add_wave_command(
    "cancel", rec.WaveCancelled, "cancelled", "Cancel a wave; it cannot be resumed."
)


def main() -> None:
    """Run ``primrosectl``."""
    app(prog_name="primrosectl")


if __name__ == "__main__":
    main()
