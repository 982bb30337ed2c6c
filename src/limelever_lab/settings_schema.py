"""Lists the keys that a settings class knows, for the operators' page and the samples."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, get_args, get_origin

import attrs

from limelever.common.sansio import Address
from limelever.common.settings import Between

_KIND_NAMES: dict[Any, str] = {
    str: "string",
    int: "integer",
    float: "number",
    bool: "boolean",
    Address: "address",
    Address | None: "address",
}
_REQUIRED = "required"


@dataclass(frozen=True, slots=True)
class SettingsKey:
    """One key: its path, what it takes, its default (``attrs.NOTHING`` = required), its range."""

    path: str
    kind: str
    default: Any
    range: Between | None

    @property
    def default_text(self) -> str:
        """Return the default as the page shows it."""
        if self.default is attrs.NOTHING:
            return _REQUIRED
        if self.default in (None, "", (), {}):
            return "none"
        if isinstance(self.default, bool):
            return str(self.default).lower()
        return str(self.default)

    @property
    def range_text(self) -> str:
        """Return the range as the page shows it."""
        return "" if self.range is None else f"{self.range.low} to {self.range.high}"


def keys_of(cls: type, prefix: str = "") -> Iterator[SettingsKey]:
    """Yield the keys of a settings class, those of sections as ``section.key``.

    Keys of the tables in a list are ``list[].key``; the list itself is yielded before them.
    """
    for attribute in attrs.fields(attrs.resolve_types(cls)):
        kind: Any = attribute.type
        path = f"{prefix}{attribute.name}"
        if attrs.has(kind) and kind is not Address:
            yield from keys_of(kind, f"{path}.")
            continue
        yield SettingsKey(path, _kind_name(kind), attribute.default, _range(attribute.validator))
        item = _list_item(kind)
        if item is not None and attrs.has(item):
            yield from keys_of(item, f"{path}[].")


def _list_item(kind: Any) -> Any:
    return get_args(kind)[0] if get_origin(kind) is tuple else None


def _kind_name(kind: Any) -> str:
    item = _list_item(kind)
    if item is not None:
        return "list of tables" if attrs.has(item) else f"list of {_plural(_kind_name(item))}"
    if get_origin(kind) is Mapping:
        return "table of strings"
    if kind in _KIND_NAMES:
        return _KIND_NAMES[kind]
    if isinstance(kind, type) and issubclass(kind, Enum):
        return "one of " + ", ".join(member.value for member in kind)
    return "one of " + ", ".join(get_args(kind))


def _plural(name: str) -> str:
    return f"{name}es" if name.endswith("s") else f"{name}s"


def _range(validator: Any) -> Between | None:
    return validator if isinstance(validator, Between) else None
