"""Runs a role whose disk refuses every write as full while a given file exists."""

from __future__ import annotations

import errno
import os
import sys
from pathlib import Path

from limelever.cli.roles import parse_role_arguments, run_role


def fill_disk_while(marker: Path) -> None:
    """Let ``os.pwrite``, through which the disk writes, fail while ``marker`` exists."""
    real = os.pwrite

    def pwrite(descriptor: int, data: bytes, offset: int) -> int:
        if marker.exists():
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return real(descriptor, data, offset)

    os.pwrite = pwrite


if __name__ == "__main__":
    fill_disk_while(Path(sys.argv[1]))
    arguments = parse_role_arguments(sys.argv[2:])
    assert arguments is not None, sys.argv
    sys.exit(run_role(arguments))
