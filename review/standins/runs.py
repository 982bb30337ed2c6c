"""How a case is run, and how its script ends."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from core_machines import Record

HELD, BROKEN, UNFIT = 0, 1, 2


class Case(Protocol):
    """One run of a case."""

    def run(self, *, trouble: bool) -> int:
        """Play it; return the exit status."""

    def close(self) -> None:
        """End everything that was started."""


def run_case(folder: Path, rule: str, make: Callable[[Record], Case]) -> int:
    """Run a case, say how it ended, and return the exit status."""
    record = Record(folder / "record.txt")
    case = make(record)
    try:
        status = case.run(trouble=os.environ.get("TROUBLE", "1") != "0")
    finally:
        case.close()
    words = {HELD: f"{rule} held", BROKEN: f"{rule} is broken", UNFIT: "the case couldn't run"}
    record.note(words[status])
    print(words[status])
    return status
