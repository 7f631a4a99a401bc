"""Loading and validation of a configuration folder; reports all issues with lines."""

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
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
"""Valid names; they are parts of paths, of count keys and of ids like ``DC~ID``."""

HEX_PATTERN = re.compile(r"(?:[0-9a-f]{2})+")
DIGEST_CHARS = 64
MAX_DEPTH = 8
REUSE_MODES = ("fresh", "expect", "pooled")
ROUTING_POLICIES = ("least_loaded", "random")

SettingPath = tuple[str, ...]
Lines = dict[SettingPath, int]


class ConfigIssue(msgspec.Struct, frozen=True, order=True):
    """An issue in a configuration.

    :param line: line of the setting, starting at 1; 0 for the whole file
    :param setting: dotted path of the setting; empty for the whole file
    """

    file: str
    line: int
    setting: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Format file, line, setting, problem and remedy as one line."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        setting = f" {self.setting}:" if self.setting else ""
        return f"{place}:{setting} {self.problem}; {self.remedy}"


class InvalidConfigError(ConfigError):
    """The configuration is invalid and was rejected as a whole.

    :param issues: all issues, which are sorted by file and line
    """

    def __init__(self, issues: list[ConfigIssue]) -> None:
        """Store the sorted issues and use them as the message."""
        self.issues = sorted(issues)
        super().__init__("\n".join(str(m) for m in self.issues))


class Constraint(NamedTuple):
    """Constraint on the value of a setting.

    :param is_valid: predicate for the value
    :param problem: text for a value that violates the constraint
    :param remedy: how to correct the value
    """

    is_valid: Callable[[Any], bool]
    problem: str
    remedy: str


def _is_positive(value: float | None) -> bool:
    return value is None or (value > 0 and math.isfinite(value))


def _is_address(value: str) -> bool:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def _are_keys_valid(keys: dict[str, KeySpec]) -> bool:
    return all(
        HEX_PATTERN.fullmatch(k.salt) and HEX_PATTERN.fullmatch(k.digest)
        for k in keys.values()
    ) and all(len(k.digest) == DIGEST_CHARS for k in keys.values())


AT_LEAST_ZERO = Constraint(lambda v: v >= 0, "is below zero", "set it to 0 or more")
ABOVE_ZERO = Constraint(_is_positive, "is not above 0", "set it to a number above 0")
AT_LEAST_ONE = Constraint(lambda v: v >= 1, "is below 1", "set it to 1 or more")
PORT = Constraint(
    lambda v: 1 <= v <= 65535, "is not a valid TCP port", "set it to 1..65535"
)
ADDRESS = Constraint(
    _is_address, "is not an IP address", "set it to the IP address of the instance"
)
KEYS = Constraint(
    _are_keys_valid,
    "contains a key that is not a salted SHA-256 digest",
    "copy salt and digest from `primrosectl key give`, or manage keys only with it",
)

CONSTRAINTS: dict[str, dict[str, Constraint]] = {
    "pools": {},
    "services": {"min_available": AT_LEAST_ZERO, "queue_limit": AT_LEAST_ZERO},
    "teams": {
        "share": ABOVE_ZERO,
        "limit": AT_LEAST_ZERO,
        "stale_key_deadline_s": ABOVE_ZERO,
        "keys": KEYS,
    },
    "instances": {
        "address": ADDRESS,
        "port": PORT,
        "slots": AT_LEAST_ONE,
        "connections": AT_LEAST_ONE,
        "cores": AT_LEAST_ZERO,
        "memory_gb": AT_LEAST_ZERO,
        "accelerators": AT_LEAST_ZERO,
    },
    "fleet": {
        **{
            f.name: ABOVE_ZERO
            for f in msgspec.structs.fields(FleetSettings)
            if f.name.endswith("_s")
        },
        "max_parallel": AT_LEAST_ONE,
        "reuse": Constraint(
            REUSE_MODES.__contains__,
            "is not a connection reuse mode",
            f"use one of {', '.join(REUSE_MODES)}",
        ),
        "routing": Constraint(
            ROUTING_POLICIES.__contains__,
            "is not a routing policy",
            f"use one of {', '.join(ROUTING_POLICIES)}",
        ),
    },
}


class _FileParser:
    """Parser of one file that collects its issues and the lines of its settings."""

    def __init__(self, name: str, issues: list[ConfigIssue]) -> None:
        """Create a parser that appends to a shared list of issues."""
        self.name = name
        self.issues = issues
        self.incomplete: set[str] = set()
        self.lines: Lines = {}

    def report(self, path: SettingPath, problem: str, remedy: str) -> None:
        """Add an issue at the line of a setting or of its closest known parent."""
        line = _line_of(self.lines, path)
        self.issues.append(
            ConfigIssue(self.name, line, ".".join(path), problem, remedy)
        )

    def parse(self, data: bytes) -> Document:
        """Parse a document; invalid parts are reported and omitted."""
        document = self._parse(data)
        if document is None:
            self.incomplete.update(SECTIONS)
        return document or Document()

    def _parse(self, data: bytes) -> Document | None:
        try:
            loader = yaml.SafeLoader(data.decode("utf-8"))
            node = loader.get_single_node()
            raw = self._to_plain(loader, node, ()) if node is not None else {}
        except UnicodeDecodeError:
            self.report((), "is not UTF-8", "save the file as UTF-8")
            return None
        except yaml.YAMLError as exc:
            self._report_syntax_error(exc)
            return None
        if not isinstance(raw, dict):
            self.report(
                (), "is not a mapping", f"start with one of {_field_names(Document)}"
            )
            return None
        return self._parse_document(raw)

    def _report_syntax_error(self, exc: yaml.YAMLError) -> None:
        mark = getattr(exc, "problem_mark", None)
        if mark is not None:
            self.lines[()] = mark.line + 1
        what = getattr(exc, "problem", None) or str(exc)
        self.report((), f"is not valid YAML ({what})", "fix the syntax")

    def _to_plain(self, loader: yaml.SafeLoader, node: Any, path: SettingPath) -> Any:
        """Convert a YAML node to plain values and record the lines of its settings."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if len(path) > MAX_DEPTH:
            self.report(path, "is nested too deeply", "remove the nesting")
            return None
        if isinstance(node, yaml.SequenceNode):
            values = enumerate(node.value)
            return [self._to_plain(loader, v, (*path, str(i))) for i, v in values]
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
            found[key] = self._to_plain(loader, value_node, inner)
        return found

    def _parse_document(self, raw: dict[str, Any]) -> Document:
        values: dict[str, Any] = {}
        for key, value in raw.items():
            if key == "fleet" and value is None:
                continue
            if key == "fleet":
                values[key] = self._parse_struct(FleetSettings, key, value, (key,))
            elif key in SECTIONS:
                values[key] = self._parse_section(key, value)
            else:
                self._report_unknown((key,), Document)
        return Document(**values)

    def _parse_section(self, section: str, raw: Any) -> dict[str, Any]:
        if raw is None:
            return {}
        if not isinstance(raw, dict):
            self.report(
                (section,),
                "is not a mapping",
                "write one entry per line, as name: settings",
            )
            self.incomplete.add(section)
            return {}
        found = {}
        for name, value in raw.items():
            path = (section, name)
            if not NAME_PATTERN.fullmatch(name):
                remedy = "use at most 64 letters, digits, '.', '_' and '-'"
                self.report(path, "is not a valid name", remedy)
            spec = self._parse_struct(SECTIONS[section], section, value, path)
            if spec is None:
                self.incomplete.add(section)
            else:
                found[name] = spec
        return found

    def _parse_struct(
        self, kind: type[msgspec.Struct], section: str, raw: Any, path: SettingPath
    ) -> Any:
        """Build a struct from the valid settings; ``None`` if one is missing."""
        raw = {} if raw is None else raw
        if not isinstance(raw, dict):
            self.report(
                path, "is not a mapping", f"use the settings {_field_names(kind)}"
            )
            return None
        fields = {f.name: f for f in msgspec.structs.fields(kind)}
        values = {}
        for key, value in raw.items():
            if key not in fields:
                self._report_unknown((*path, key), kind)
            elif self._check_value(fields[key].type, section, value, (*path, key)):
                values[key] = msgspec.convert(value, fields[key].type)
        missing = [n for n, f in fields.items() if f.required and n not in values]
        for name in missing:
            if name not in raw:
                self.report((*path, name), "is missing", "add the setting")
        return None if missing else kind(**values)

    def _check_value(
        self, kind: Any, section: str, raw: Any, path: SettingPath
    ) -> bool:
        """Whether a value meets its type and constraint; reports it otherwise."""
        try:
            value = msgspec.convert(raw, kind)
        except msgspec.ValidationError as exc:
            self.report(
                path, f"has the wrong type ({exc})", "use a value of the expected type"
            )
            return False
        constraint = CONSTRAINTS[section].get(path[-1])
        if constraint is None or constraint.is_valid(value):
            return True
        shown = "" if constraint is KEYS else f" ({value})"
        self.report(path, constraint.problem + shown, constraint.remedy)
        return False

    def _report_unknown(self, path: SettingPath, kind: type[msgspec.Struct]) -> None:
        close = difflib.get_close_matches(path[-1], kind.__struct_fields__, n=1)
        remedy = (
            f"did you mean {close[0]}?" if close else f"known: {_field_names(kind)}"
        )
        self.report(path, "is an unknown setting", remedy)


def _scalar(loader: yaml.SafeLoader, node: Any) -> Any:
    """Return the value of a scalar node.

    :raises yaml.YAMLError: if the value cannot be read as its explicit or detected type
    """
    try:
        return loader.construct_object(node)
    except (ValueError, LookupError, AttributeError, TypeError) as exc:
        # PyYAML raises these for values such as ``!!int many`` and ``2001-99-99``.
        problem = f"value is not of type {node.tag}: correct it, or quote text"
        raise yaml.MarkedYAMLError(None, None, problem, node.start_mark) from exc


def load_folder(folder: Path) -> dict[str, Document]:
    """Load and validate all YAML files of a folder.

    :returns: documents by file name, sorted by name
    :raises InvalidConfigError: with all issues
    """
    issues: list[ConfigIssue] = []
    documents: dict[str, Document] = {}
    lines: dict[str, Lines] = {}
    incomplete: set[str] = set()
    for path in _yaml_files(folder, issues):
        parser = _FileParser(path.name, issues)
        try:
            data = path.read_bytes()
        except OSError as exc:
            parser.report(
                (), f"cannot be read ({exc.strerror})", "check the file permissions"
            )
            incomplete.update(SECTIONS)
            continue
        documents[path.name] = parser.parse(data)
        lines[path.name] = parser.lines
        incomplete |= parser.incomplete
    issues += check_documents(documents, lines, incomplete)
    if issues:
        raise InvalidConfigError(issues)
    return documents


def _yaml_files(folder: Path, issues: list[ConfigIssue]) -> list[Path]:
    """Return the YAML files of a folder, sorted by name."""
    if not folder.is_dir():
        issues.append(
            ConfigIssue(
                folder.name, 0, "", "is not a folder", "pass a folder with YAML files"
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
        issues.append(ConfigIssue(folder.name, 0, "", "contains no YAML files", remedy))
    return found


def check_documents(
    documents: dict[str, Document],
    lines: dict[str, Lines] | None = None,
    incomplete: set[str] | None = None,
) -> list[ConfigIssue]:
    """Validate references and conflicts across documents.

    :param lines: known lines of settings by file
    :param incomplete: sections that could not be read completely; checks that depend
        on them are skipped to avoid false reports
    :returns: the issues
    """
    found = []
    for file, path, problem, remedy in _conflicts(documents, incomplete or set()):
        line = _line_of((lines or {}).get(file, {}), path)
        found.append(ConfigIssue(file, line, ".".join(path), problem, remedy))
    return found


Conflict = tuple[str, SettingPath, str, str]


def _conflicts(
    documents: dict[str, Document], incomplete: set[str]
) -> Iterator[Conflict]:
    yield from _duplicate_names(documents)
    yield from _duplicate_addresses(documents)
    for file, doc in sorted(documents.items()):
        yield from _invalid_timeouts(file, doc)
        yield from _public_team_keys(file, doc)
        if "pools" not in incomplete:
            yield from _unknown_pools(file, doc, _names(documents, "pools"))
        if "services" not in incomplete:
            yield from _unknown_queues(file, doc, _names(documents, "services"))
        if "instances" not in incomplete:
            yield from _impossible_budgets(file, doc, documents)


def _unknown_pools(file: str, doc: Document, known: set[str]) -> Iterator[Conflict]:
    """Find services and instances that refer to an unknown pool."""
    users = [("services", str(n), s.pool) for n, s in doc.services.items()]
    users += [("instances", str(n), s.pool) for n, s in doc.instances.items()]
    for section, name, pool in users:
        if pool not in known:
            yield (
                file,
                (section, name, "pool"),
                *_unknown_reference("pool", pool, known),
            )


def _unknown_queues(file: str, doc: Document, known: set[str]) -> Iterator[Conflict]:
    """Find teams that refer to an unknown queue."""
    for team, spec in doc.teams.items():
        for queue in spec.queues:
            if queue not in known:
                path = ("teams", team, "queues")
                yield file, path, *_unknown_reference("queue", queue, known)


def _duplicate_names(documents: dict[str, Document]) -> Iterator[Conflict]:
    """Find names that are defined in several files."""
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


def _unknown_reference(what: str, name: str, known: set[str]) -> tuple[str, str]:
    close = difflib.get_close_matches(name, known, n=1)
    remedy = (
        f"did you mean {close[0]}?"
        if close
        else f"define the {what} or correct the name"
    )
    return f"refers to an unknown {what} ({name})", remedy


def _impossible_budgets(
    file: str, doc: Document, documents: dict[str, Document]
) -> Iterator[Conflict]:
    """Find availability budgets above the size of their pool."""
    for name, spec in doc.services.items():
        size = sum(
            inst.pool == spec.pool
            for other in documents.values()
            for inst in other.instances.values()
        )
        if spec.min_available > size:
            problem = (
                f"cannot be met ({spec.min_available} required, {size} in the pool)"
            )
            remedy = f"lower it or add instances to the pool {spec.pool}"
            yield file, ("services", name, "min_available"), problem, remedy


def _invalid_timeouts(file: str, doc: Document) -> Iterator[Conflict]:
    fleet = doc.fleet
    if fleet is not None and fleet.default_request_s > fleet.max_request_s:
        problem = f"is above max_request_s ({fleet.max_request_s})"
        yield file, ("fleet", "default_request_s"), problem, "lower it"


def _public_team_keys(file: str, doc: Document) -> Iterator[Conflict]:
    if PUBLIC_TEAM in doc.teams and doc.teams[PUBLIC_TEAM].keys:
        path = ("teams", PUBLIC_TEAM, "keys")
        yield (
            file,
            path,
            "are not allowed on the built-in public team",
            "remove the keys",
        )


def _duplicate_addresses(documents: dict[str, Document]) -> Iterator[Conflict]:
    """Find instances with the same address and port."""
    owners: dict[tuple[str, int], str] = {}
    for file, doc in sorted(documents.items()):
        for name, spec in doc.instances.items():
            owner = owners.setdefault((spec.address, spec.port), name)
            if owner != name:
                problem = f"has the address and port of {owner}"
                path = ("instances", name, "address")
                yield file, path, problem, "use a different address or port"


def _line_of(lines: Lines, path: SettingPath) -> int:
    """Return the line of a setting or of its closest known parent; 0 if unknown."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 0)


def _field_names(kind: type[msgspec.Struct]) -> str:
    return ", ".join(kind.__struct_fields__)
