"""Starts the long-running roles, and finds the settings class that a file is for.

Nothing here imports a library that a role does not need itself: a node's memory decides what
its process imports, and the library behind the operators' commands costs about 20 MB.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Sequence
from pathlib import Path

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Role
from limelever.common.settings import ProcessSettings, SettingsProblem, SettingsProblems
from limelever.common.settings.reader import load_settings, read_table
from limelever.early_signals import ignore_reload_signal
from limelever.transport.reload import SettingsFile

EXIT_OK = 0
EXIT_REFUSED = 1
PROCESS_ROLES = (
    Role.SOURCE,
    Role.RELAY,
    Role.PROXY,
    Role.AGENT,
    Role.NODE,
    Role.CONTROL,
)
_SETTINGS_OPTION = "--settings"
_SET_OPTION = "--set"


class RoleArguments(Struct, frozen=True):
    """Command line of a long-running role."""

    role: Role
    settings: Path
    overrides: tuple[str, ...]


def parse_role_arguments(arguments: Sequence[str]) -> RoleArguments | None:
    """Return a role's command line, or ``None`` when it is anything but complete and plain.

    The full parser of the command line then takes over, for help and for usage errors.
    """
    names = {role.value: role for role in PROCESS_ROLES}
    if len(arguments) < 1 or arguments[0] not in names or len(arguments) % 2 == 0:
        return None
    pairs = list(zip(arguments[1::2], arguments[2::2], strict=True))
    files = [value for option, value in pairs if option == _SETTINGS_OPTION]
    overrides = tuple(value for option, value in pairs if option == _SET_OPTION)
    if len(files) != 1 or len(files) + len(overrides) != len(pairs):
        return None
    return RoleArguments(names[arguments[0]], Path(files[0]), overrides)


def settings_class(role: Role) -> type[ProcessSettings]:
    """Return the settings class of a role, such as ``limelever.relay.settings.RelaySettings``."""
    module = importlib.import_module(f"limelever.{role.value}.settings")
    found: type[ProcessSettings] = getattr(module, f"{role.value.capitalize()}Settings")
    return found


def check_settings(
    path: Path, overrides: Sequence[str] = ()
) -> tuple[Role, ProcessSettings] | SettingsProblems:
    """Check a settings file of any role; the role is read from the file."""
    table = read_table(path)
    if isinstance(table, SettingsProblems):
        return table
    known = {role.value: role for role in PROCESS_ROLES}
    role = known.get(str(table.get("role")))
    if role is None:
        shown = "missing" if "role" not in table else f'"{table["role"]}"'
        reason = f"must be one of {', '.join(known)}, is {shown}"
        return SettingsProblems((SettingsProblem(str(path), "role", reason),))
    settings = load_settings(path, settings_class(role), overrides)
    return settings if isinstance(settings, SettingsProblems) else (role, settings)


def run_role(arguments: RoleArguments) -> int:
    """Load a role's settings and run its process to the end; return the exit status."""
    ignore_reload_signal()
    source = _source_of(arguments)
    settings = load_settings(
        arguments.settings, settings_class(arguments.role), arguments.overrides
    )
    if isinstance(settings, SettingsProblems):
        print_problems(settings)
        return EXIT_REFUSED
    process = importlib.import_module(f"limelever.{arguments.role.value}.process")
    status: int = process.run(settings, source=source)
    return status


def _source_of(arguments: RoleArguments) -> SettingsFile:
    """Return where a running process reads its settings again."""

    def read() -> ProcessSettings | Failure:
        loaded = load_settings(
            arguments.settings, settings_class(arguments.role), arguments.overrides
        )
        if isinstance(loaded, SettingsProblems):
            reasons = "; ".join(str(problem) for problem in loaded.problems)
            return Failure(ErrorKind.INVALID_SETTINGS, reasons)
        return loaded

    return SettingsFile.before_reading(arguments.settings, read)


def print_problems(problems: SettingsProblems) -> None:
    """Print every problem of a settings file on standard error."""
    for problem in problems.problems:
        print(problem, file=sys.stderr)
