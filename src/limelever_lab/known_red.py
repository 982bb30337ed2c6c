"""The list of scenarios known to fail for a fault that is not fixed yet.

``KNOWN-RED.txt`` holds one line for each, ``test | evidence | issue``. The test is a scenario's
name, and the evidence has its command, seed and what was seen. A missing file is an empty list.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_FILE = "KNOWN-RED.txt"
FIELDS = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One known failure: the scenario's name, the evidence, and the number of its issue."""

    test: str
    cause: str
    issue: str


def read_known_red(root: Path) -> tuple[KnownRed, ...] | str:
    """Return the list at the repository's root, or the reason why it cannot be used."""
    path = root / KNOWN_RED_FILE
    if not path.exists():
        return ()
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    by_test: dict[str, KnownRed] = {}
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            return f"{KNOWN_RED_FILE}: not `test | evidence | issue`: {line}"
        entry = KnownRed(*fields)
        if not entry.issue.isdigit():
            return f"{KNOWN_RED_FILE}: not the number of an issue: {entry.issue}"
        if entry.test in by_test:
            return f"{KNOWN_RED_FILE} names a test twice: {entry.test}"
        by_test[entry.test] = entry
    return tuple(by_test.values())
