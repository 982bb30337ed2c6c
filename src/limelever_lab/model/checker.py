"""Runs the explicit-state checker over a model or one of its broken variants."""

import enum
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import minicheck
from minicheck._core import SearchIncomplete

from limelever_lab.model.specification import Model, Specification, Step

MAX_STATES = 1_000_000


class Verdict(enum.Enum):
    """What one run of the checker established."""

    HOLDS = "holds"
    VIOLATED = "violated"
    UNDETERMINED = "undetermined"
    VACUOUS = "vacuous"


class CounterexampleFound(SearchIncomplete):  # type: ignore[misc]
    """Ends a sweep once an invariant is refuted; the witness needs no complete sweep."""


@dataclass(frozen=True)
class CheckResult:
    """The outcome of checking one model in one variant (None is the true protocol)."""

    model: str
    variant: str | None
    states: int
    verdict: Verdict
    invariant: str | None
    unseen_witnesses: tuple[str, ...]
    counterexample: tuple[str, ...]
    cpu_seconds: float

    @property
    def as_expected(self) -> bool:
        """Whether a true protocol holds, or a broken variant is refuted."""
        expected = Verdict.HOLDS if self.variant is None else Verdict.VIOLATED
        return self.verdict is expected


def check(model: Model, variant: str | None = None) -> CheckResult:
    """Explore every state of a model, or of its broken variant up to the first violation."""
    started = time.process_time()
    specification = model.build(variant)
    unseen = dict(specification.witnesses)
    report = minicheck.check_safety(
        _stopping_at_violation(specification, unseen), max_states=MAX_STATES
    )
    violated = _first_violated(report)
    return CheckResult(
        model=model.name,
        variant=variant,
        states=report["reachable_states"],
        verdict=_verdict(report, violated, unseen),
        invariant=violated,
        unseen_witnesses=tuple(unseen),
        counterexample=_labels(report, violated),
        cpu_seconds=time.process_time() - started,
    )


def check_all(models: Iterable[Model], variant: str | None = None) -> list[CheckResult]:
    """Check each model and every variant of it, or only the variant named."""
    results = []
    for model in models:
        names = [candidate.name for candidate in model.variants]
        if variant is None:
            results.append(check(model))
        results.extend(check(model, name) for name in names if variant in (None, name))
    return results


def _stopping_at_violation(
    specification: Specification[Any], unseen: dict[str, Callable[[Any], bool]]
) -> "minicheck.Protocol":
    """Return the protocol with a sweep that ends at the first refuted invariant.

    Witnesses are removed from ``unseen`` once a reachable state shows them.
    """
    protocol = specification.protocol()
    refuted: list[str] = []

    def watching(name: str, predicate: Callable[[Any], bool]) -> Callable[[Any], bool]:
        def watched(fields: Any) -> bool:
            holds = predicate(fields)
            if not holds:
                refuted.append(name)
            return holds

        return watched

    def steps(state: Any) -> Iterable[Step[Any]]:
        if refuted:
            raise CounterexampleFound(refuted[0])
        for name in [name for name, shows in unseen.items() if shows(state)]:
            del unseen[name]
        return specification.steps(state)

    protocol.invariants = {
        name: watching(name, predicate) for name, predicate in protocol.invariants.items()
    }
    protocol.transitions = steps
    return protocol


def _first_violated(report: Any) -> str | None:
    """Return the name of the refuted invariant with the shortest witness."""
    refuted = {
        name: len(outcome["counterexample"])
        for name, outcome in report["properties"].items()
        if outcome["holds"] is False
    }
    return min(refuted, key=lambda name: refuted[name], default=None)


def _verdict(report: Any, violated: str | None, unseen: Iterable[str]) -> Verdict:
    """Classify a report; an unfinished or vacuous sweep never counts as holding."""
    if violated is not None:
        return Verdict.VIOLATED
    if not report["exhaustive"]:
        return Verdict.UNDETERMINED
    return Verdict.VACUOUS if any(True for _ in unseen) else Verdict.HOLDS


def _labels(report: Any, violated: str | None) -> tuple[str, ...]:
    """Return the actions of the counterexample, in order."""
    if violated is None:
        return ()
    witness = report["properties"][violated]["counterexample"]
    return tuple(step["label"] for step in witness[1:])
