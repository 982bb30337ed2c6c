"""The code of an earlier commit, in a git worktree that is removed afterwards."""

from __future__ import annotations

import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

GIT_LIMIT_SECONDS = 60.0
CODE_FOLDER = "src"


@contextmanager
def earlier_code(commit: str) -> Iterator[Path]:
    """Yield the folder with the modules of ``commit``; raises ``CalledProcessError`` without it."""
    with tempfile.TemporaryDirectory(prefix="limelever-upgrade-") as scratch:
        folder = Path(scratch) / "earlier"
        _git("worktree", "add", "--quiet", "--detach", str(folder), commit)
        try:
            yield folder / CODE_FOLDER
        finally:
            _git("worktree", "remove", "--force", str(folder))


def _git(*arguments: str) -> None:
    subprocess.run(["git", *arguments], check=True, timeout=GIT_LIMIT_SECONDS)
