"""Starts a process of the platform whose steady clock can be made to skip time.

As on a machine that is suspended: the test stops the process and writes how long it was away, in
seconds, to the file that the environment names; that time is left out of the steady clock.
"""

from __future__ import annotations

import os
import runpy
import sys
import time
from pathlib import Path

import trio._core._run as trio_run

SKIPPED_FILE = "SKIPPED_SECONDS_FILE"
START = Path(__file__).resolve().parents[2] / "platform" / "start.py"


def main() -> None:
    skipped = Path(os.environ[SKIPPED_FILE])
    real = time.perf_counter
    trio_run.perf_counter = lambda: real() - float(skipped.read_text())
    sys.argv[0] = str(START)
    sys.path[0] = str(START.parent)
    runpy.run_path(str(START), run_name="__main__")


if __name__ == "__main__":
    main()
