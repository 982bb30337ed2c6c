"""The list of scenarios known to fail for a fault that is not mended yet.

``KNOWN-RED.txt`` holds one line for each, ``test | cause | issue``, and three lines at most. The
test is a scenario's name. A missing file is an empty list.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_FILE = "KNOWN-RED.txt"
MOST_KNOWN_RED = 3
FIELDS = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One known failure: the scenario's name, the cause, and the issue that tracks it."""

    test: str
    cause: str
    issue: str


def read_known_red(root: Path) -> tuple[KnownRed, ...] | str:
    """Return the list at the repository's root, or the reason why it cannot be used."""
    path = root / KNOWN_RED_FILE
    if not path.exists():
        return ()
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MOST_KNOWN_RED:
        return f"{KNOWN_RED_FILE} has {len(lines)} lines, {MOST_KNOWN_RED} at most"
    entries: list[KnownRed] = []
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            return f"{KNOWN_RED_FILE}: not `test | cause | issue`: {line}"
        entries.append(KnownRed(*fields))
    return tuple(entries)
