"""Runs every check of the repository: formatter, linter, types and all features.

Called by ``make test``, and so by CI. At most five jobs run at once, two of them with a fleet of
processes and one with a crowd of clients, so that they fit on eight cores; what they print comes in
a fixed order. The last line is ``N passed, N failed``: each of formatter, linter and type checker
counts as one, and so does each scenario. Scenarios named in ``KNOWN-RED.txt`` are passed over and
printed; one that is skipped in any other way counts as failed.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from limelever_lab.feature_report import (
    CommandResult,
    JobResult,
    check_known_red,
    count_scenarios,
    last_lines,
    read_report,
    render,
)
from limelever_lab.known_red import KnownRed, read_known_red

ROOT = Path(__file__).resolve().parents[2]
FLEET_JOBS_AT_ONCE = 2
CROWD_JOBS_AT_ONCE = 1
OTHER_JOBS_AT_ONCE = 2
JOB_LIMIT_SECONDS = 450
LATE_STATUS = 124
FLEET_TAG = "@fleet"
CROWD_TAG = "@crowd"
"""A feature with crowds of clients that break limits; two at once would slow each other down."""
SLOW_TAG = "@slow"
"""A feature that takes minutes: a job by itself, and begun first, so that none runs on alone."""
REPORT_FORMAT = "limelever_lab.report_formatter:ReportFormatter"
TAGS = (FLEET_TAG, CROWD_TAG, SLOW_TAG)
CHECKS = (
    ("ruff format", ("ruff", "format", "--check", ".")),
    ("ruff check", ("ruff", "check", ".")),
    ("mypy", ("mypy", "src")),
    ("mypy platform", ("mypy", "--explicit-package-bases", "platform")),
)


@dataclass(frozen=True, slots=True)
class Room:
    """Features that run as one job: a folder's, or a feature with a tag."""

    name: str
    features: tuple[Path, ...]
    tag: str = ""


def run_command(arguments: Sequence[str], limit: float = JOB_LIMIT_SECONDS) -> CommandResult:
    """Run one of the environment's programs; after ``limit`` seconds it is killed.

    It leads a process group, so that the processes it started are killed with it.
    """
    program = Path(sys.executable).parent / arguments[0]
    started = time.monotonic()
    process = subprocess.Popen(
        [str(program), *arguments[1:]],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=limit)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate()
        late = f"{output}\nkilled after {limit} s"
        return CommandResult(LATE_STATUS, late, time.monotonic() - started)
    return CommandResult(process.returncode, output, time.monotonic() - started)


def run_check(name: str, arguments: Sequence[str]) -> JobResult:
    """Run a formatter, linter or type check; it counts as one."""
    result = run_command(arguments)
    if result.status == 0:
        return JobResult(name, passed=1, failed=0, seconds=result.seconds)
    details = f"{last_lines(result.output)}\n"
    return JobResult(name, passed=0, failed=1, details=details, seconds=result.seconds)


def find_rooms() -> list[Room]:
    """Return all rooms, the slow ones first; each feature that is tagged is one by itself."""
    rooms: list[Room] = []
    folders = {path.parent for path in (ROOT / "features").rglob("*.feature")}
    for folder in sorted(folders):
        rooms += _rooms_of(folder)
    return sorted(rooms, key=lambda room: (room.tag != SLOW_TAG, room.name))


def _rooms_of(folder: Path) -> list[Room]:
    name = str(folder.relative_to(ROOT))
    rooms: list[Room] = []
    rest: list[Path] = []
    for path in sorted(folder.glob("*.feature")):
        tag = path.read_text().split()[0]
        if tag in TAGS:
            rooms.append(Room(f"{name}/{path.stem}", (path,), tag))
        else:
            rest.append(path)
    return [Room(name, tuple(rest)), *rooms] if rest else rooms


def run_room(room: Room, known_red: Sequence[KnownRed]) -> JobResult:
    """Run the features of one room."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        paths = [str(path) for path in room.features]
        outputs = ["-f", REPORT_FORMAT, "-o", str(report), "-f", "plain"]
        command = ["behave", "--no-color", *outputs, *paths]
        result = run_command(command)
        scenarios = read_report(report)
    return count_scenarios(room.name, scenarios or (), result, known_red)


def run_all(known_red: Sequence[KnownRed]) -> list[JobResult]:
    """Run all jobs and return their results in a fixed order."""
    with (
        ThreadPoolExecutor(FLEET_JOBS_AT_ONCE) as with_fleet,
        ThreadPoolExecutor(CROWD_JOBS_AT_ONCE) as with_crowd,
        ThreadPoolExecutor(OTHER_JOBS_AT_ONCE) as others,
    ):
        by_tag = {FLEET_TAG: with_fleet, CROWD_TAG: with_crowd, SLOW_TAG: others}
        rooms = [
            by_tag.get(room.tag, others).submit(run_room, room, known_red) for room in find_rooms()
        ]
        checks = [others.submit(run_check, name, command) for name, command in CHECKS]
        results = [job.result() for job in (*checks, *rooms)]
    return [*results, check_known_red(known_red, results)]


def main() -> int:
    """Run everything, print the results, and return the exit status."""
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    known_red = read_known_red(ROOT)
    if isinstance(known_red, str):
        print(f"{known_red}\n0 passed, 1 failed")
        return 1
    results = run_all(known_red)
    print(render(results, known_red), flush=True)
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    return 0 if passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
