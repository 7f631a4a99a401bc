"""Reading and checking a configuration folder; reports every mistake with its place."""

from __future__ import annotations

import difflib
import ipaddress
import math
import re
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import yaml

from primrosepitch.config.model import (
    PUBLIC_TEAM,
    Document,
    FleetSettings,
    InstanceSpec,
    KeySpec,
    PoolSpec,
    ServiceSpec,
    TeamSpec,
)
from primrosepitch.errors import ConfigError

__all__ = ["ConfigIssue", "InvalidConfigError", "check_documents", "load_folder"]

SUFFIXES = (".yaml", ".yml")
SECTIONS: dict[str, type[msgspec.Struct]] = {
    "pools": PoolSpec,
    "services": ServiceSpec,
    "teams": TeamSpec,
    "instances": InstanceSpec,
}
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
"""Names are parts of paths, of count keys and of ids of the form ``DC~ID``."""

HEX = re.compile(r"(?:[0-9a-f]{2})+")
DIGEST_CHARS = 64
MAX_DEPTH = 8
REUSE = ("fresh", "expect", "pooled")
ROUTING = ("least_loaded", "random")

SettingPath = tuple[str, ...]
Lines = dict[SettingPath, int]


class ConfigIssue(msgspec.Struct, frozen=True, order=True):
    """One mistake in a configuration.

    :param line: line of the setting, from 1; 0 when the whole file is meant
    :param setting: path of the setting with dots; empty for the whole file
    """

    file: str
    line: int
    setting: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return file, line, setting, problem and remedy in one line."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        setting = f" {self.setting}:" if self.setting else ""
        return f"{place}:{setting} {self.problem}; {self.remedy}"


class InvalidConfigError(ConfigError):
    """The configuration has issues; nothing of it was taken over.

    :param issues: all issues, in the order of files and lines
    """

    def __init__(self, issues: list[ConfigIssue]) -> None:
        """Keep the issues."""
        self.issues = sorted(issues)
        super().__init__("\n".join(str(m) for m in self.issues))


class Bound(NamedTuple):
    """A rule for the value of one setting."""

    holds: Callable[[Any], bool]
    problem: str
    remedy: str


def _positive(value: float | None) -> bool:
    return value is None or (value > 0 and math.isfinite(value))


def _is_address(value: str) -> bool:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def _is_key(keys: dict[str, KeySpec]) -> bool:
    return all(
        HEX.fullmatch(k.salt) and HEX.fullmatch(k.digest) for k in keys.values()
    ) and all(len(k.digest) == DIGEST_CHARS for k in keys.values())


NOT_BELOW_ZERO = Bound(lambda v: v >= 0, "is below zero", "set it to 0 or more")
ABOVE_ZERO = Bound(_positive, "is not above 0", "set it to a number above 0")
AT_LEAST_ONE = Bound(lambda v: v >= 1, "is below 1", "set it to 1 or more")
PORT = Bound(lambda v: 1 <= v <= 65535, "is no TCP port", "set it to 1..65535")
ADDRESS = Bound(_is_address, "is no IP number", "write the instance's IP number")
KEYS = Bound(
    _is_key,
    "holds a key that is no salted SHA-256",
    "take salt and digest from `primrosectl key give`, or leave keys to that command",
)

BOUNDS: dict[str, dict[str, Bound]] = {
    "pools": {},
    "services": {"min_available": NOT_BELOW_ZERO, "queue_limit": NOT_BELOW_ZERO},
    "teams": {
        "share": ABOVE_ZERO,
        "limit": NOT_BELOW_ZERO,
        "stale_key_deadline_s": ABOVE_ZERO,
        "keys": KEYS,
    },
    "instances": {
        "address": ADDRESS,
        "port": PORT,
        "slots": AT_LEAST_ONE,
        "connections": AT_LEAST_ONE,
        "cores": NOT_BELOW_ZERO,
        "memory_gb": NOT_BELOW_ZERO,
        "accelerators": NOT_BELOW_ZERO,
    },
    "fleet": {
        **{
            f.name: ABOVE_ZERO
            for f in msgspec.structs.fields(FleetSettings)
            if f.name.endswith("_s")
        },
        "max_parallel": AT_LEAST_ONE,
        "reuse": Bound(
            REUSE.__contains__, "is no way of reuse", f"use one of {', '.join(REUSE)}"
        ),
        "routing": Bound(
            ROUTING.__contains__, "is no policy", f"use one of {', '.join(ROUTING)}"
        ),
    },
}


class _Reader:
    """Reads one file and collects its issues and the lines of its settings."""

    def __init__(self, name: str, issues: list[ConfigIssue]) -> None:
        """Report to a shared list."""
        self.name = name
        self.issues = issues
        self.incomplete: set[str] = set()
        self.lines: Lines = {}

    def report(self, path: SettingPath, problem: str, remedy: str) -> None:
        """Add a mistake at the closest known line of a setting."""
        line = _line(self.lines, path)
        self.issues.append(
            ConfigIssue(self.name, line, ".".join(path), problem, remedy)
        )

    def read(self, data: bytes) -> Document:
        """Return the document; what is wrong in it is left out and reported."""
        document = self._read(data)
        if document is None:
            self.incomplete.update(SECTIONS)
        return document or Document()

    def _read(self, data: bytes) -> Document | None:
        try:
            loader = yaml.SafeLoader(data.decode("utf-8"))
            node = loader.get_single_node()
            raw = self._plain(loader, node, ()) if node is not None else {}
        except UnicodeDecodeError:
            self.report((), "is not UTF-8", "save the file as UTF-8")
            return None
        except yaml.YAMLError as exc:
            self._not_yaml(exc)
            return None
        if not isinstance(raw, dict):
            self.report((), "is no mapping", f"start with one of {_known(Document)}")
            return None
        return self._document(raw)

    def _not_yaml(self, exc: yaml.YAMLError) -> None:
        mark = getattr(exc, "problem_mark", None)
        if mark is not None:
            self.lines[()] = mark.line + 1
        what = getattr(exc, "problem", None) or str(exc)
        self.report((), f"is not YAML ({what})", "correct the syntax")

    def _plain(self, loader: yaml.SafeLoader, node: Any, path: SettingPath) -> Any:
        """Return plain values of a node and note the lines of its settings."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if len(path) > MAX_DEPTH:
            self.report(path, "is nested too deeply", "remove the nesting")
            return None
        if isinstance(node, yaml.SequenceNode):
            values = enumerate(node.value)
            return [self._plain(loader, v, (*path, str(i))) for i, v in values]
        if not isinstance(node, yaml.MappingNode):
            return _scalar(loader, node)
        found: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            inner = (*path, key)
            line = key_node.start_mark.line + 1
            if key in found:
                first = self.lines[inner]
                self.lines[inner] = line
                self.report(inner, f"is defined twice (line {first})", "keep one")
                continue
            self.lines[inner] = line
            found[key] = self._plain(loader, value_node, inner)
        return found

    def _document(self, raw: dict[str, Any]) -> Document:
        values: dict[str, Any] = {}
        for key, value in raw.items():
            if key == "fleet" and value is None:
                continue
            if key == "fleet":
                values[key] = self._struct(FleetSettings, key, value, (key,))
            elif key in SECTIONS:
                values[key] = self._section(key, value)
            else:
                self._unknown((key,), Document)
        return Document(**values)

    def _section(self, section: str, raw: Any) -> dict[str, Any]:
        if raw is None:
            return {}
        if not isinstance(raw, dict):
            self.report((section,), "is no mapping", "write one name a line")
            self.incomplete.add(section)
            return {}
        found = {}
        for name, value in raw.items():
            path = (section, name)
            if not NAME.fullmatch(name):
                remedy = "use letters, digits, '.', '_' and '-', at most 64"
                self.report(path, "is no valid name", remedy)
            spec = self._struct(SECTIONS[section], section, value, path)
            if spec is None:
                self.incomplete.add(section)
            else:
                found[name] = spec
        return found

    def _struct(
        self, kind: type[msgspec.Struct], section: str, raw: Any, path: SettingPath
    ) -> Any:
        """Return a struct of the valid settings, ``None`` when one is missing."""
        raw = {} if raw is None else raw
        if not isinstance(raw, dict):
            self.report(path, "is no mapping", f"use the settings {_known(kind)}")
            return None
        fields = {f.name: f for f in msgspec.structs.fields(kind)}
        values = {}
        for key, value in raw.items():
            if key not in fields:
                self._unknown((*path, key), kind)
            elif self._valid(fields[key].type, section, value, (*path, key)):
                values[key] = msgspec.convert(value, fields[key].type)
        missing = [n for n, f in fields.items() if f.required and n not in values]
        for name in missing:
            if name not in raw:
                self.report((*path, name), "is missing", "add the setting")
        return None if missing else kind(**values)

    def _valid(self, kind: Any, section: str, raw: Any, path: SettingPath) -> bool:
        """Whether a value has its type and keeps its bound; reports it otherwise."""
        try:
            value = msgspec.convert(raw, kind)
        except msgspec.ValidationError as exc:
            self.report(path, f"has a wrong type ({exc})", "write a value of the type")
            return False
        bound = BOUNDS[section].get(path[-1])
        if bound is None or bound.holds(value):
            return True
        shown = "" if bound is KEYS else f" ({value})"
        self.report(path, bound.problem + shown, bound.remedy)
        return False

    def _unknown(self, path: SettingPath, kind: type[msgspec.Struct]) -> None:
        close = difflib.get_close_matches(path[-1], kind.__struct_fields__, n=1)
        remedy = f"did you mean {close[0]}?" if close else f"known: {_known(kind)}"
        self.report(path, "is an unknown setting", remedy)


def _scalar(loader: yaml.SafeLoader, node: Any) -> Any:
    """Return the value of a scalar.

    :raises yaml.YAMLError: if its tag does not fit
    """
    try:
        return loader.construct_object(node)
    except (ValueError, LookupError, AttributeError, TypeError) as exc:
        # PyYAML lets these through for values such as ``!!int many``.
        problem = f"{node.tag} cannot be read"
        raise yaml.MarkedYAMLError(None, None, problem, node.start_mark) from exc


def load_folder(folder: Path) -> dict[str, Document]:
    """Read and check all YAML files of a folder.

    :returns: documents by file name, in the order of the names
    :raises InvalidConfigError: with all issues
    """
    issues: list[ConfigIssue] = []
    documents: dict[str, Document] = {}
    lines: dict[str, Lines] = {}
    incomplete: set[str] = set()
    for path in _files(folder, issues):
        reader = _Reader(path.name, issues)
        try:
            data = path.read_bytes()
        except OSError as exc:
            reader.report((), f"cannot be read ({exc.strerror})", "check its rights")
            incomplete.update(SECTIONS)
            continue
        documents[path.name] = reader.read(data)
        lines[path.name] = reader.lines
        incomplete |= reader.incomplete
    issues += check_documents(documents, lines, incomplete)
    if issues:
        raise InvalidConfigError(issues)
    return documents


def _files(folder: Path, issues: list[ConfigIssue]) -> list[Path]:
    """Return the YAML files of a folder, sorted by name."""
    if not folder.is_dir():
        issues.append(
            ConfigIssue(
                folder.name, 0, "", "is no folder", "name a folder of YAML files"
            )
        )
        return []
    found = sorted(
        p
        for p in folder.iterdir()
        if p.suffix in SUFFIXES and p.is_file() and not p.name.startswith(".")
    )
    if not found:
        remedy = f"add files named *{' or *'.join(SUFFIXES)}"
        issues.append(ConfigIssue(folder.name, 0, "", "has no YAML files", remedy))
    return found


def check_documents(
    documents: dict[str, Document],
    lines: dict[str, Lines] | None = None,
    incomplete: set[str] | None = None,
) -> list[ConfigIssue]:
    """Check documents against each other.

    :param lines: lines of the settings by file, where they are known
    :param incomplete: sections of which something could not be read; what depends on
        them is not checked, since it would report issues that are none
    :returns: the issues
    """
    found = []
    for file, path, problem, remedy in _conflicts(documents, incomplete or set()):
        line = _line((lines or {}).get(file, {}), path)
        found.append(ConfigIssue(file, line, ".".join(path), problem, remedy))
    return found


Conflict = tuple[str, SettingPath, str, str]


def _conflicts(
    documents: dict[str, Document], incomplete: set[str]
) -> Iterator[Conflict]:
    yield from _repeated(documents)
    yield from _addresses(documents)
    for file, doc in sorted(documents.items()):
        yield from _fleet(file, doc)
        yield from _public(file, doc)
        if "pools" not in incomplete:
            yield from _pools(file, doc, _names(documents, "pools"))
        if "services" not in incomplete:
            yield from _queues(file, doc, _names(documents, "services"))
        if "instances" not in incomplete:
            yield from _budgets(file, doc, documents)


def _pools(file: str, doc: Document, known: set[str]) -> Iterator[Conflict]:
    """Find services and instances that name an unknown pool."""
    users = [("services", str(n), s.pool) for n, s in doc.services.items()]
    users += [("instances", str(n), s.pool) for n, s in doc.instances.items()]
    for section, name, pool in users:
        if pool not in known:
            yield file, (section, name, "pool"), *_unknown_name("pool", pool, known)


def _queues(file: str, doc: Document, known: set[str]) -> Iterator[Conflict]:
    """Find teams that name an unknown queue."""
    for team, spec in doc.teams.items():
        for queue in spec.queues:
            if queue not in known:
                path = ("teams", team, "queues")
                yield file, path, *_unknown_name("queue", queue, known)


def _repeated(documents: dict[str, Document]) -> Iterator[Conflict]:
    """Find names that two files define."""
    first: dict[SettingPath, str] = {}
    for file, doc in sorted(documents.items()):
        paths = [(s, str(name)) for s in SECTIONS for name in getattr(doc, s)]
        fleet: list[SettingPath] = [("fleet",)] if doc.fleet is not None else []
        for path in [*paths, *fleet]:
            if path in first:
                problem = f"is also defined in {first[path]}"
                yield file, path, problem, "keep one definition"
            first.setdefault(path, file)


def _names(documents: dict[str, Document], section: str) -> set[str]:
    return {str(n) for doc in documents.values() for n in getattr(doc, section)}


def _unknown_name(what: str, name: str, known: set[str]) -> tuple[str, str]:
    close = difflib.get_close_matches(name, known, n=1)
    remedy = f"did you mean {close[0]}?" if close else f"define the {what} or rename it"
    return f"names an unknown {what} ({name})", remedy


def _budgets(
    file: str, doc: Document, documents: dict[str, Document]
) -> Iterator[Conflict]:
    """Find availability budgets that can never hold."""
    for name, spec in doc.services.items():
        size = sum(
            inst.pool == spec.pool
            for other in documents.values()
            for inst in other.instances.values()
        )
        if spec.min_available > size:
            problem = f"can never hold ({spec.min_available} of {size} instances)"
            remedy = f"lower it or add instances to the pool {spec.pool}"
            yield file, ("services", name, "min_available"), problem, remedy


def _fleet(file: str, doc: Document) -> Iterator[Conflict]:
    fleet = doc.fleet
    if fleet is not None and fleet.default_request_s > fleet.max_request_s:
        problem = f"is above max_request_s ({fleet.max_request_s})"
        yield file, ("fleet", "default_request_s"), problem, "lower it"


def _public(file: str, doc: Document) -> Iterator[Conflict]:
    if PUBLIC_TEAM in doc.teams and doc.teams[PUBLIC_TEAM].keys:
        path = ("teams", PUBLIC_TEAM, "keys")
        yield file, path, "belong to the team without keys", "remove the keys"


def _addresses(documents: dict[str, Document]) -> Iterator[Conflict]:
    """Find instances that share an address and port."""
    owners: dict[tuple[str, int], str] = {}
    for file, doc in sorted(documents.items()):
        for name, spec in doc.instances.items():
            owner = owners.setdefault((spec.address, spec.port), name)
            if owner != name:
                problem = f"has the address and port of {owner}"
                path = ("instances", name, "address")
                yield file, path, problem, "give each endpoint its own"


def _line(lines: Lines, path: SettingPath) -> int:
    """Return the line of a setting, or of the closest one around it."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 0)


def _known(kind: type[msgspec.Struct]) -> str:
    return ", ".join(kind.__struct_fields__)
