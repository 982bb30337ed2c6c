"""Compares what callers were told with what the back ends ran."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from limelever_lab.load.outcomes import CallRecord, Fate
from limelever_lab.standins.runs import RunCounts


@dataclass(frozen=True, slots=True)
class Audit:
    """What must hold, with the identifiers of the calls for which it did not.

    ``lost`` had no answer at all within the caller's patience; ``answered_not_run`` were answered
    though no back end ran them; ``refused_but_ran`` were refused as not run and had been run;
    ``run_twice`` may run at most once and ran more often; ``mismatched`` got another call's answer.
    """

    lost: tuple[str, ...]
    answered_not_run: tuple[str, ...]
    refused_but_ran: tuple[str, ...]
    run_twice: tuple[str, ...]
    mismatched: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Return whether nothing was found."""
        return not any(
            (
                self.lost,
                self.answered_not_run,
                self.refused_but_ran,
                self.run_twice,
                self.mismatched,
            )
        )


def merge_counts(counts: Iterable[RunCounts]) -> RunCounts:
    """Add up the counts of several back ends."""
    by_call: dict[str, int] = {}
    by_key: dict[str, int] = {}
    for one in counts:
        for call_id, times in one.by_call.items():
            by_call[call_id] = by_call.get(call_id, 0) + times
        for key, times in one.by_key.items():
            by_key[key] = by_key.get(key, 0) + times
    return RunCounts(by_call, by_key)


def audit(records: Iterable[CallRecord], runs: RunCounts) -> Audit:
    """Check every record against the runs."""
    kept = list(records)
    return Audit(
        lost=tuple(r.call_id for r in kept if r.fate is Fate.LOST),
        answered_not_run=tuple(
            r.call_id for r in kept if r.fate is Fate.ANSWERED and not runs.by_call.get(r.call_id)
        ),
        refused_but_ran=tuple(
            r.call_id for r in kept if r.refused_throughout and runs.by_call.get(r.call_id)
        ),
        run_twice=tuple(r.call_id for r in kept if r.key and runs.by_key.get(r.key, 0) > 1),
        mismatched=tuple(r.call_id for r in kept if r.fate is Fate.MISMATCHED),
    )
