"""Counts what a run of features came to, from behave's JSON report."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from limelever_lab.known_red import KNOWN_RED_FILE, KnownRed

OUTPUT_LINES_SHOWN = 40
NOT_FAULTY = (None, "passed", "skipped", "untested")


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit status and output of a finished command, and how many seconds it took."""

    status: int
    output: str
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class JobResult:
    """Counts of one job, the names of scenarios passed over, and what to print of failures."""

    name: str
    passed: int
    failed: int
    passed_over: tuple[str, ...] = ()
    details: str = ""
    seconds: float = 0.0


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
        _scenario(element)
        for feature in features
        for element in feature.get("elements", ())
        if element.get("type") != "background"
    ]


def _scenario(element: dict[str, Any]) -> ScenarioResult:
    errors: list[str] = []
    for step in element.get("steps", ()):
        result = step.get("result", {})
        if result.get("status") not in NOT_FAULTY:
            message = result.get("error_message", "")
            text = "\n".join(message) if isinstance(message, list) else str(message)
            errors.append(f"{step['keyword']} {step['name']}\n{text}")
    return ScenarioResult(element["name"], element.get("status", "untested"), "\n".join(errors))


def count_scenarios(
    name: str,
    scenarios: Sequence[ScenarioResult],
    result: CommandResult,
    known_red: Sequence[KnownRed],
) -> JobResult:
    """Count passed, failed and passed-over scenarios of one room.

    A room without scenarios counts as one failure, and so does one whose run ended badly though
    no scenario failed. Of failed scenarios the errors are printed, and the end of the run's
    output only where there are none.
    """
    red = {known.test for known in known_red}
    passed_over = [s.name for s in scenarios if s.status == "skipped" and s.name in red]
    passed = [s for s in scenarios if s.status == "passed"]
    failed = [s for s in scenarios if s.status != "passed" and s.name not in passed_over]
    unexplained = not failed and (result.status != 0 or not scenarios)
    details = "".join(f"--- {s.name}: {s.status}\n{s.errors}\n" for s in failed)
    if unexplained or (failed and not any(s.errors for s in failed)):
        details += f"--- end of the output (status {result.status})\n{last_lines(result.output)}\n"
    count = len(failed) + int(unexplained)
    return JobResult(name, len(passed), count, tuple(passed_over), details, result.seconds)


def last_lines(output: str) -> str:
    """Return the last lines of an output."""
    return "\n".join(output.splitlines()[-OUTPUT_LINES_SHOWN:])


def check_known_red(known_red: Sequence[KnownRed], results: Sequence[JobResult]) -> JobResult:
    """Check that the list of known failures names only scenarios that were met."""
    found = {name for result in results for name in result.passed_over}
    unknown = [known.test for known in known_red if known.test not in found]
    if not unknown:
        return JobResult(KNOWN_RED_FILE, passed=0, failed=0)
    details = f"{KNOWN_RED_FILE} names scenarios that were not met: {', '.join(unknown)}\n"
    return JobResult(KNOWN_RED_FILE, passed=0, failed=1, details=details)


def render(results: Sequence[JobResult], known_red: Sequence[KnownRed]) -> str:
    """Return what a run prints: a table of rooms, known failures, failures, and the counts.

    Failures stand last, since of a long output often only the end is kept.
    """
    width = max(len(result.name) for result in results)
    lines = [f"{'room':<{width}} {'passed':>7} {'failed':>7} {'seconds':>8}"]
    lines += [f"{r.name:<{width}} {r.passed:>7} {r.failed:>7} {r.seconds:>8.1f}" for r in results]
    lines.append(f"{KNOWN_RED_FILE}: {'' if known_red else 'nothing'}".rstrip())
    lines += [f"passed over: {red.test} | {red.cause} | {red.issue}" for red in known_red]
    lines += [f"=== {r.name}\n{r.details}" for r in results if r.details]
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    lines.append(f"{passed} passed, {failed} failed")
    return "\n".join(lines)
