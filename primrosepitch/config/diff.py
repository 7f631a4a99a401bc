"""Differences between two configurations, by setting and by file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from primrosepitch.config.model import Document, merge

__all__ = ["Change", "changed_files", "diff"]

ABSENT = "absent"
HIDDEN = ("salt", "digest")


class Change(msgspec.Struct, frozen=True):
    """One setting that differs.

    :param setting: path with dots
    :param old: value before; ``absent`` when there was none
    :param new: value after; ``absent`` when there is none
    """

    setting: str
    old: str
    new: str

    def __str__(self) -> str:
        """Return the change in one line."""
        return f"{self.setting}: {self.old} -> {self.new}"


def diff(old: Mapping[str, Document], new: Mapping[str, Document]) -> list[Change]:
    """Return what changed, sorted by setting; where a setting is defined is ignored.

    :raises ConfigError: if documents cannot be merged
    """
    before = _flat(msgspec.to_builtins(merge(dict(old))))
    after = _flat(msgspec.to_builtins(merge(dict(new))))
    return [
        _change(name, before.get(name, ABSENT), after.get(name, ABSENT))
        for name in sorted(before.keys() | after.keys())
        if before.get(name, ABSENT) != after.get(name, ABSENT)
    ]


def changed_files(
    old: Mapping[str, Document], new: Mapping[str, Document]
) -> tuple[dict[str, Document], list[str]]:
    """Return changed and new documents by file name, and the names of removed files."""
    documents = {n: d for n, d in new.items() if old.get(n) != d}
    return documents, sorted(old.keys() - new.keys())


def _change(name: str, old: str, new: str) -> Change:
    if name.rpartition(".")[2] in HIDDEN:
        old, new = (v if v == ABSENT else "hidden" for v in (old, new))
    return Change(name, old, new)


def _flat(value: Any, path: str = "") -> dict[str, str]:
    """Return values by their dotted path."""
    if not isinstance(value, dict):
        return {path: str(value)}
    found: dict[str, str] = {}
    for key, inner in value.items():
        found.update(_flat(inner, f"{path}.{key}" if path else str(key)))
    return found
