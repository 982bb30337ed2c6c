"""Runs every check of the repository: formatter, linter, types and all features.

Called by ``make test``, and so by CI. At most four jobs run at once; their outputs are printed in
a fixed order. The last line is ``N passed, N failed``: each of formatter, linter and type checker
counts as one, and so does each scenario. Scenarios named in ``KNOWN-RED.txt`` are passed over and
printed; one that is skipped in any other way counts as failed.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from limelever_lab.known_red import KNOWN_RED_FILE, KnownRed, read_known_red

ROOT = Path(__file__).resolve().parents[2]
JOBS_AT_ONCE = 4
JOB_LIMIT_SECONDS = 400
LATE_STATUS = 124
FIRST_FOLDERS = ("probes",)
CHECKS = (
    ("ruff format", ("ruff", "format", "--check", ".")),
    ("ruff check", ("ruff", "check", ".")),
    ("mypy", ("mypy", "src")),
)


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit status and output of a finished command."""

    status: int
    output: str


@dataclass(frozen=True, slots=True)
class JobResult:
    """Counts of one job, the names of scenarios passed over, and what to print of failures."""

    name: str
    passed: int
    failed: int
    passed_over: tuple[str, ...] = ()
    details: str = ""


def run_command(arguments: Sequence[str]) -> CommandResult:
    """Run one of the environment's programs in the repository; late ones are killed."""
    program = Path(sys.executable).parent / arguments[0]
    try:
        done = subprocess.run(
            [str(program), *arguments[1:]],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=JOB_LIMIT_SECONDS,
        )
    except subprocess.TimeoutExpired as error:
        text = error.stdout.decode(errors="replace") if isinstance(error.stdout, bytes) else ""
        return CommandResult(LATE_STATUS, f"{text}\nkilled after {JOB_LIMIT_SECONDS} s")
    return CommandResult(done.returncode, done.stdout)


def run_check(name: str, arguments: Sequence[str]) -> JobResult:
    """Run a formatter, linter or type check; it counts as one."""
    result = run_command(arguments)
    if result.status == 0:
        return JobResult(name, passed=1, failed=0)
    return JobResult(name, passed=0, failed=1, details=result.output)


def feature_folders() -> list[Path]:
    """Return the folders that hold features, the slowest first, the others by name."""
    folders = {path.parent for path in (ROOT / "features").rglob("*.feature")}
    return sorted(folders, key=lambda folder: (folder.name not in FIRST_FOLDERS, folder))


def run_folder(folder: Path, known_red: Sequence[KnownRed]) -> JobResult:
    """Run the features of one folder."""
    name = str(folder.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        paths = [str(path) for path in sorted(folder.glob("*.feature"))]
        command = ["behave", "--no-color", "-f", "json", "-o", str(report), "-f", "plain", *paths]
        result = run_command(command)
        scenarios = read_report(report)
    if scenarios is None:
        return JobResult(name, passed=0, failed=1, details=result.output)
    return count_scenarios(name, scenarios, result, known_red)


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Name, behave's status and the error messages of one scenario."""

    name: str
    status: str
    errors: str


def read_report(path: Path) -> list[ScenarioResult] | None:
    """Return the scenarios of behave's JSON report, or ``None`` when it is not whole."""
    try:
        features = json.loads(path.read_text())
    except (OSError, ValueError):
        return None
    return [
        _scenario(element, feature)
        for feature in features
        for element in feature.get("elements", ())
        if element.get("type") != "background"
    ]


def _scenario(element: dict[str, Any], feature: dict[str, Any]) -> ScenarioResult:
    errors: list[str] = []
    for step in element.get("steps", ()):
        result = step.get("result", {})
        if result.get("status") not in (None, "passed", "skipped", "untested"):
            message = result.get("error_message", "")
            text = "\n".join(message) if isinstance(message, list) else str(message)
            errors.append(f"{step['keyword']} {step['name']}\n{text}")
    name = f"{element['name']}"
    return ScenarioResult(name, element.get("status", "untested"), "\n".join(errors))


def count_scenarios(
    name: str,
    scenarios: Sequence[ScenarioResult],
    result: CommandResult,
    known_red: Sequence[KnownRed],
) -> JobResult:
    """Count passed, failed and passed-over scenarios of one folder."""
    red = {known.test for known in known_red}
    passed_over = [s.name for s in scenarios if s.status == "skipped" and s.name in red]
    passed = [s for s in scenarios if s.status == "passed"]
    failed = [s for s in scenarios if s.status != "passed" and s.name not in passed_over]
    details = "".join(f"--- {s.name}: {s.status}\n{s.errors}\n" for s in failed)
    broken = result.status != 0 and not failed
    empty = not scenarios
    if failed or broken or empty:
        details += f"--- output of {name} (status {result.status})\n{result.output}\n"
    return JobResult(
        name, len(passed), len(failed) + int(broken or empty), tuple(passed_over), details
    )


def check_known_red(known_red: Sequence[KnownRed], results: Iterable[JobResult]) -> JobResult:
    """Check that the list of known failures is short and names scenarios that exist."""
    found = {name for result in results for name in result.passed_over}
    unknown = [known.test for known in known_red if known.test not in found]
    if not unknown:
        return JobResult(KNOWN_RED_FILE, passed=0, failed=0)
    details = f"{KNOWN_RED_FILE} names scenarios that were not met: {', '.join(unknown)}\n"
    return JobResult(KNOWN_RED_FILE, passed=0, failed=1, details=details)


def run_all(known_red: Sequence[KnownRed]) -> list[JobResult]:
    """Run all jobs and return their results in a fixed order."""
    with ThreadPoolExecutor(JOBS_AT_ONCE) as executor:
        folders = [executor.submit(run_folder, f, known_red) for f in feature_folders()]
        checks = [executor.submit(run_check, name, command) for name, command in CHECKS]
        results = [job.result() for job in (*checks, *folders)]
    return [*results, check_known_red(known_red, results)]


def main() -> int:
    """Run everything, print the results, and return the exit status."""
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    known_red = read_known_red(ROOT)
    if isinstance(known_red, str):
        print(known_red)
        print("0 passed, 1 failed")
        return 1
    results = run_all(known_red)
    for result in results:
        print(f"{result.name}: {result.passed} passed, {result.failed} failed")
        print(result.details, end="")
    for known in known_red:
        print(f"passed over (known red): {known.test} | {known.cause} | {known.issue}")
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    print(f"{passed} passed, {failed} failed")
    return 0 if passed and not failed else 1


if __name__ == "__main__":
    sys.exit(main())
