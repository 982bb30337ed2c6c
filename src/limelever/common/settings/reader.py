"""Reads a settings file, puts overrides over it, and checks it against a role's class."""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, TypeVar

import cattrs

from limelever.common.sansio import Role
from limelever.common.settings.clashes import find_clashes
from limelever.common.settings.problems import SettingsProblem, SettingsProblems
from limelever.common.settings.sections import ProcessSettings
from limelever.common.settings.structure import explain, structure, toml_type

SettingsT = TypeVar("SettingsT", bound=ProcessSettings)
_WHOLE_FILE = "(file)"
_OVERRIDES = "--set"
_ROLE = "role"
_NESTED_TOO_DEEPLY = "is nested too deeply"


def load_settings(
    path: Path, cls: type[SettingsT], overrides: Sequence[str] = ()
) -> SettingsT | SettingsProblems:
    """Read, override and check a settings file.

    ``overrides`` are ``key.path=value`` texts whose values are TOML (or plain strings).
    Returns the settings, or all problems found.
    """
    table = read_table(path)
    if isinstance(table, SettingsProblems):
        return table
    problems = [p for text in overrides if (p := _override(table, text)) is not None]
    checked = check_table(table, cls, str(path))
    if isinstance(checked, SettingsProblems):
        problems.extend(checked.problems)
    return SettingsProblems(tuple(problems)) if problems else checked


def read_table(path: Path) -> dict[str, Any] | SettingsProblems:
    """Parse a TOML file."""
    try:
        with path.open("rb") as file:
            return tomllib.load(file)
    except OSError as error:
        reason = error.strerror or str(error)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        reason = f"not TOML: {error}"
    except RecursionError:
        reason = _NESTED_TOO_DEEPLY
    return SettingsProblems((SettingsProblem(str(path), _WHOLE_FILE, reason),))


def check_table(
    table: dict[str, Any], cls: type[SettingsT], file: str
) -> SettingsT | SettingsProblems:
    """Check a parsed table against a settings class; everything that is wrong is listed."""
    expected = getattr(cls, "ROLE", None)
    if expected is not None and _is_of_other_role(table, expected):
        reason = f'settings are of role "{table[_ROLE]}", this process is "{expected.value}"'
        return SettingsProblems((SettingsProblem(file, _ROLE, reason),))
    problems: list[SettingsProblem] = []
    settings: SettingsT | None = None
    try:
        settings = structure(table, cls)
    except cattrs.BaseValidationError as error:
        problems = [SettingsProblem(file, key, reason) for key, reason in explain(error)]
    except ValueError as error:
        problems = [SettingsProblem(file, _WHOLE_FILE, str(error))]
    problems += find_clashes(table, cls, cls.CLASHES, file)
    if settings is None or problems:
        return SettingsProblems(tuple(problems))
    return settings


def _is_of_other_role(table: dict[str, Any], expected: Role) -> bool:
    """Return whether the table is another role's: its other keys then say nothing."""
    role = table.get(_ROLE)
    return role in [known.value for known in Role if known is not expected]


def _override(table: dict[str, Any], text: str) -> SettingsProblem | None:
    path, separator, value = text.partition("=")
    *parents, last = path.split(".")
    if not separator or not last or not all(parents):
        return SettingsProblem(_OVERRIDES, text, 'must be "key=value"')
    for parent in parents:
        child = table.setdefault(parent, {})
        if not isinstance(child, dict):
            reason = f'"{parent}" is {toml_type(child)}, not a table'
            return SettingsProblem(_OVERRIDES, path, reason)
        table = child
    table[last] = _override_value(value)
    return None


def _override_value(text: str) -> object:
    """Return the TOML value that the text is, or the text itself."""
    try:
        parsed = tomllib.loads(f"value = {text}")
    except (tomllib.TOMLDecodeError, RecursionError):
        return text
    return parsed["value"] if len(parsed) == 1 else text
