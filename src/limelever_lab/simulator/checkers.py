"""What must always hold, checked at every step; the findings of a run.

Each checker is told what is seen at an edge (a held set, an operator's answer, a run at a
back end, a caller's answer) and knows nothing of how the cores work.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class Rule(StrEnum):
    """The rules that a run may break."""

    VERSION_ORDER = "version-order"
    DANGLING_REFERENCE = "dangling-reference"
    PARTIAL_VERSION = "partial-version"
    CONTRADICTED_ANSWER = "contradicted-answer"
    UNSETTLED_WRITE = "unsettled-write"
    DANGLING_ACCEPTED = "dangling-accepted"
    NOT_IN_FORCE = "not-in-force"
    TWO_WINNERS = "two-winners"
    WRONG_ANSWER = "wrong-answer"
    SECOND_ANSWER = "second-answer"
    NO_ANSWER = "no-answer"
    SECOND_RUN = "second-run"
    LOST_RUN = "lost-run"
    RAN_AFTER_REFUSAL = "ran-after-refusal"
    WORK_AFTER_LEAVING = "work-after-leaving"
    CUT_OFF_BY_STOP = "cut-off-by-stop"
    STALE_READ = "stale-read"
    SECRET_SHOWN = "secret-shown"
    SECRET_IN_LOG = "secret-in-log"
    SECRET_OUT_OF_SCOPE = "secret-out-of-scope"
    FALSE_FRESHNESS = "false-freshness"
    STALE_TOO_LONG = "stale-too-long"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken rule: when (virtual seconds), where, and what was seen."""

    rule: Rule
    at: float
    where: str
    detail: str

    def __str__(self) -> str:
        """Return the finding as the report prints it."""
        return f"{self.rule.value} at {self.at:.3f} s on {self.where}: {self.detail}"


@dataclass(slots=True)
class Findings:
    """The broken rules of a run; ``limit`` bounds how many are kept."""

    limit: int = 20
    found: list[Finding] = field(default_factory=list)

    def add(self, rule: Rule, at: float, where: str, detail: str) -> None:
        """Record a broken rule."""
        if len(self.found) < self.limit:
            self.found.append(Finding(rule, at, where, detail))
