"""What can be wrong with settings: single keys, and keys that do not go together."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct


class SettingsProblem(Struct, frozen=True):
    """One thing wrong with a settings file: which file, which key, and why."""

    file: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return ``file: key: reason``."""
        return f"{self.file}: {self.key}: {self.reason}"


class SettingsProblems(Struct, frozen=True):
    """Sentinel returned in place of settings: everything that is wrong with them."""

    problems: tuple[SettingsProblem, ...]


class Clash(Struct, frozen=True):
    """A rule between keys.

    ``holds`` is given the values of ``keys``, in their order. It is asked only when each of them
    is sound by itself, so that a rule is checked whatever else is wrong with the file. The
    problem names the first key.
    """

    keys: tuple[str, ...]
    reason: str
    holds: Callable[..., bool]
