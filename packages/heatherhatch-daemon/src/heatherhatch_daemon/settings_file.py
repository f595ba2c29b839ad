"""Reader of settings files: YAML to typed settings, with all errors in one report."""

from dataclasses import MISSING, fields, is_dataclass
from pathlib import Path
from typing import Literal, get_args, get_origin

import yaml

from heatherhatch_core.exceptions import SettingsError

from .settings import Address, Settings


def read_settings(path: str | Path) -> Settings:
    """Read a settings file.

    Args:
        path: Path of the YAML file.

    Raises:
        SettingsError: With every error in the file, each with its line.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: {error}",)) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Return the settings in YAML text; see `read_settings`."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, ValueError) as error:
        raise SettingsError((f"not valid YAML: {error}",)) from error
    problems: list[str] = []
    settings = _Reader(problems).section(root, Settings, "")
    if settings is not None:
        problems += _inconsistencies(settings)
    if problems:
        raise SettingsError(tuple(problems))
    return settings


def _inconsistencies(settings: Settings) -> list[str]:
    found = []
    if settings.store.kind == "etcd" and settings.store.address is None:
        found.append("store.address: expected host:port for store.kind etcd")
    timing = settings.timing
    if timing.heartbeat_s * 2 > timing.standing_s:
        found.append("timing.standing_s: expected at least twice heartbeat_s")
    if timing.standing_s >= timing.lease_s:
        found.append("timing.lease_s: expected more than standing_s")
    jobs = settings.jobs
    if jobs.claim_s + jobs.look_s >= jobs.lease_s:
        found.append("jobs.lease_s: expected more than the sum of claim_s and look_s")
    return found


class _Reader:
    """Converts a composed YAML tree to settings classes and collects all errors."""

    def __init__(self, problems: list[str]):
        self.problems = problems

    def section(self, node, kind, path):
        if not isinstance(node, yaml.MappingNode):
            self._problem(node, path, "a mapping")
            return None
        known_problems = len(self.problems)
        known = {item.name: item for item in fields(kind)}
        values = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            where = f"{path}.{key}" if path else key
            if key not in known:
                expected = "one of " + ", ".join(known)
                self._problem(key_node, where, expected)
            elif key in values:
                self._problem(key_node, where, "no duplicate key")
            else:
                values[key] = self._value(value_node, known[key].type, where)
        for name, item in known.items():
            needed = item.default is MISSING and item.default_factory is MISSING
            if needed and name not in values:
                where = f"{path}.{name}" if path else name
                self._problem(node, where, "a value, but it is missing")
        if len(self.problems) > known_problems:
            return None
        return kind(**values)

    def _value(self, node, kind, path):
        if is_dataclass(kind) and kind is not Address:
            return self.section(node, kind, path)
        if not isinstance(node, yaml.ScalarNode):
            self._problem(node, path, _describe(kind))
            return None
        try:
            return _convert(node, kind)
        except ValueError as error:
            self._problem(node, path, f"{_describe(kind)} ({error})")
            return None

    def _problem(self, node, path, expected):
        line = node.start_mark.line + 1 if node is not None else 1
        self.problems.append(f"line {line}: {path or 'file'}: expected {expected}")


def _convert(node, kind):
    if kind is Address or Address in get_args(kind):
        return Address.parse(node.value)
    if get_origin(kind) is Literal:
        if node.value not in get_args(kind):
            raise ValueError(f"not {node.value!r}")
        return node.value
    if kind is bool:
        return _convert_bool(node.value)
    value = kind(node.value)
    if kind in (int, float) and not 0 <= value < float("inf"):
        raise ValueError("must be finite and not negative")
    return value


def _convert_bool(text):
    if text not in ("true", "false"):
        raise ValueError("neither true nor false")
    return text == "true"


def _describe(kind):
    if kind is Address or Address in get_args(kind):
        return "host:port with an IP address"
    if get_origin(kind) is Literal:
        return "one of " + ", ".join(get_args(kind))
    return {int: "an integer", float: "a number", str: "a string"}.get(
        kind, "true or false"
    )
