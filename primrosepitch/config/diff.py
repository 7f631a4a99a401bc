"""Differences between two configurations, by setting and by file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from primrosepitch.config.model import Document, merge

__all__ = ["Change", "changed_files", "diff"]

ABSENT = "absent"
HIDDEN_SETTINGS = ("salt", "digest")


class Change(msgspec.Struct, frozen=True):
    """A setting with different values in two configurations.

    :param setting: dotted path
    :param old: old value; ``absent`` if it was not set
    :param new: new value; ``absent`` if it is not set
    """

    setting: str
    old: str
    new: str

    def __str__(self) -> str:
        """Format the change as one line."""
        return f"{self.setting}: {self.old} -> {self.new}"


def diff(old: Mapping[str, Document], new: Mapping[str, Document]) -> list[Change]:
    """Return the changed settings, sorted; moves between files are ignored.

    :raises ConfigError: if the documents cannot be merged
    """
    old_values = _flatten(msgspec.to_builtins(merge(dict(old))))
    new_values = _flatten(msgspec.to_builtins(merge(dict(new))))
    return [
        _change(name, old_values.get(name, ABSENT), new_values.get(name, ABSENT))
        for name in sorted(old_values.keys() | new_values.keys())
        if old_values.get(name, ABSENT) != new_values.get(name, ABSENT)
    ]


def changed_files(
    old: Mapping[str, Document], new: Mapping[str, Document]
) -> tuple[dict[str, Document], list[str]]:
    """Return changed and new documents by file name, and the names of removed files."""
    documents = {n: d for n, d in new.items() if old.get(n) != d}
    return documents, sorted(old.keys() - new.keys())


def _change(name: str, old: str, new: str) -> Change:
    if name.rpartition(".")[2] in HIDDEN_SETTINGS:
        old, new = (v if v == ABSENT else "hidden" for v in (old, new))
    return Change(name, old, new)


def _flatten(value: Any, path: str = "") -> dict[str, str]:
    """Flatten nested dictionaries to values by dotted path."""
    if not isinstance(value, dict):
        return {path: str(value)}
    found: dict[str, str] = {}
    for key, inner in value.items():
        found.update(_flatten(inner, f"{path}.{key}" if path else str(key)))
    return found
