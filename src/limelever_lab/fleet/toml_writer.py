"""Writes settings objects as TOML files, so that processes read what operators would write."""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import Enum
from pathlib import Path
from typing import Any

import attrs

from limelever.common.sansio import Address


def write_settings(path: Path, settings: Any) -> None:
    """Write an attrs settings object; keys at their defaults are left out.

    An earlier build refuses keys that it doesn't know, whatever they hold.
    """
    table = attrs.asdict(settings, filter=_is_set, value_serializer=_serialise)
    path.write_text(to_toml(table))


def to_toml(table: Mapping[str, Any]) -> str:
    """Return the TOML text of a table; nested tables are written inline."""
    lines = [f"{key} = {_value(value)}" for key, value in table.items() if value is not None]
    return "\n".join(lines) + "\n"


def _is_set(attribute: attrs.Attribute[Any], value: Any) -> bool:
    return bool(value != attribute.default)


def _serialise(_instance: object, _attribute: object, value: Any) -> Any:
    if isinstance(value, Address):
        return str(value)
    if isinstance(value, Enum):
        return value.value
    return value


def _value(value: Any) -> str:
    if isinstance(value, Mapping):
        items = (f"{key} = {_value(item)}" for key, item in value.items() if item is not None)
        return "{" + ", ".join(items) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_value(item) for item in value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, Address):
        return json.dumps(str(value))
    return json.dumps(value, ensure_ascii=False)
