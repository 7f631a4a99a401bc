"""Process settings from a YAML file and the environment."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import yaml

from primrosepitch.errors import SettingsError
from primrosepitch.ids import DcId, InstanceId

__all__ = ["Settings", "load_settings"]

ENV_PREFIX = "PRIMROSE_"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one process.

    :param name: name of the process, unique among running processes
    :param dc: data centre
    :param instance: instance that the process runs on
    :param address: IP address to listen on
    :param platform: ``IP:port`` of the platform's service
    :param http_port: port for callers and operators (entry) or operators (planner)
    :param peer_port: port for peers
    :param log_level: level of the standard ``logging`` module
    :param renew_s: seconds between renewals of the session in the log
    :param removal_is_final: whether removal from the platform's list proves that an
        instance is powered off
    :param seeds: ``IP:port`` of peers from which a new process gets its state while the
        log is unavailable
    """

    name: str
    dc: DcId
    instance: InstanceId
    address: str
    platform: str
    http_port: int
    peer_port: int
    log_level: str = "INFO"
    renew_s: float = 60.0
    removal_is_final: bool = False
    seeds: list[str] = []


def load_settings(path: Path, environ: Mapping[str, str] = os.environ) -> Settings:
    """Load settings; ``PRIMROSE_<NAME>`` in the environment overrides the file.

    :param path: YAML file with a mapping of settings
    :raises SettingsError: if the file cannot be read or a setting is invalid
    """
    try:
        raw: Any = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    except (OSError, yaml.YAMLError) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    if not isinstance(raw, dict):
        raise SettingsError(f"{path}: the top level has to be a mapping of settings")
    for field in msgspec.structs.fields(Settings):
        value = environ.get(ENV_PREFIX + field.name.upper())
        if value is not None:
            raw[field.name] = value
    try:
        return msgspec.convert(raw, Settings, strict=False)
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
