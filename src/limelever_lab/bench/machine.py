"""The machine a result was measured on, and how busy others kept it."""

from __future__ import annotations

import os
import platform
import subprocess
from dataclasses import dataclass
from pathlib import Path

KIBIBYTE = 1024


@dataclass(frozen=True, slots=True)
class MachineLoad:
    """Load averages over one and five minutes, and the memory that was still available."""

    one_minute: float
    five_minutes: float
    available_bytes: int

    @classmethod
    def now(cls) -> MachineLoad:
        """Read the load."""
        one, five, _ = os.getloadavg()
        return cls(round(one, 2), round(five, 2), available_bytes())


@dataclass(frozen=True, slots=True)
class CodeState:
    """The commit that was run, and how many tracked files differed from it; ``-`` if unknown."""

    commit: str
    changed_files: int

    @classmethod
    def now(cls) -> CodeState:
        """Ask git about the folder that this module stands in."""
        commit = _git("rev-parse", "HEAD").strip()
        changes = _git("status", "--porcelain", "--untracked-files=no")
        return cls(commit or "-", len(changes.splitlines()))


@dataclass(frozen=True, slots=True)
class Machine:
    """What the run had: code, processors, interpreter, and the load before and after it."""

    code: CodeState

    processors: int
    interpreter: str
    before: MachineLoad
    after: MachineLoad


def machine_since(before: MachineLoad) -> Machine:
    """Describe the machine at the end of a run that began with ``before``."""
    return Machine(
        code=CodeState.now(),
        processors=os.cpu_count() or 1,
        interpreter=f"{platform.python_implementation()} {platform.python_version()}",
        before=before,
        after=MachineLoad.now(),
    )


def available_bytes() -> int:
    """Return the memory that new processes could use."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) * KIBIBYTE
    return 0


def _git(*arguments: str) -> str:
    """Return what git prints; nothing where there is no git or no repository."""
    folder = Path(__file__).parent
    try:
        done = subprocess.run(
            ["git", "-C", str(folder), *arguments], capture_output=True, text=True
        )
    except FileNotFoundError:
        return ""
    return done.stdout
