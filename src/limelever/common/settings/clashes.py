"""Finds the keys that do not go together, in a table that may have other faults."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

import attrs
import cattrs

from limelever.common.settings.problems import Clash, SettingsProblem
from limelever.common.settings.structure import structure_field


class _Broken:
    """The value of a key that is missing or wrong by itself."""


_BROKEN: Final = _Broken()


def find_clashes(
    table: Mapping[str, Any], cls: type, rules: tuple[Clash, ...], file: str
) -> list[SettingsProblem]:
    """Return a problem for each rule that does not hold; broken keys take part in none."""
    found: list[SettingsProblem] = []
    for rule in rules:
        values = [_value_at(table, cls, key) for key in rule.keys]
        if any(value is _BROKEN for value in values):
            continue
        if not rule.holds(*values):
            found.append(SettingsProblem(file, rule.keys[0], rule.reason))
    return found


def _value_at(table: Mapping[str, Any], cls: Any, key: str) -> Any:
    """Return the sound value of ``section.key``, its default when absent, or ``_BROKEN``."""
    first, _, rest = key.partition(".")
    attribute = attrs.fields_dict(attrs.resolve_types(cls))[first]
    if first not in table:
        return _default_at(attribute.default, rest)
    value = table[first]
    if rest:
        return _value_at(value, attribute.type, rest) if isinstance(value, dict) else _BROKEN
    try:
        return structure_field(value, attribute)
    except (ValueError, cattrs.BaseValidationError):
        return _BROKEN


def _default_at(default: Any, rest: str) -> Any:
    if default is attrs.NOTHING:
        return _BROKEN
    return getattr(default, rest) if rest else default
