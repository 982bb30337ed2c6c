"""What can be wrong with settings: single keys, and keys that do not go together."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One thing wrong with a settings file: which file, which key, and why."""

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return ``file: key: reason``."""
        return f"{self.file}: {self.key}: {self.reason}"


@dataclass(frozen=True, slots=True)
class SettingsProblems:
    """Sentinel returned in place of settings: everything that is wrong with them."""

    problems: tuple[SettingsProblem, ...]


@dataclass(frozen=True, slots=True)
class Clash:
    """A rule between keys.

    ``holds`` is given the values of ``keys``, in their order. It is asked only when each of them
    is sound by itself, so that a rule is checked whatever else is wrong with the file. The
    problem names the first key.
    """

    keys: tuple[str, ...]
    reason: str
    holds: Callable[..., bool]
