"""Checks of what operators are answered and of what every holder holds."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from limelever.protocol.config_pb2 import Batch, VersionedResource
from limelever.protocol.operators_pb2 import GetResponse
from limelever_lab.simulator.changes import SECRET_MARK
from limelever_lab.simulator.checkers import Findings, Rule
from limelever_lab.simulator.reference import (
    Held,
    History,
    Key,
    ResourceSet,
    dangling_references,
    restrict,
    set_of,
)


@dataclass(frozen=True, slots=True)
class Holder:
    """A process that holds configuration: its scope, or everything when ``None``.

    ``ordered`` is false for a source replica, which replays its log at a start.
    """

    name: str
    services: frozenset[str] | None = None
    ordered: bool = True


@dataclass(frozen=True, slots=True)
class Observation:
    """What a holder held from a time (virtual seconds) on."""

    at: float
    holder: Holder
    version: int
    resources: dict[Key, Held]


@dataclass(slots=True)
class ConfigurationChecker:
    """Collects answers and observations; the whole is judged at the end of a run."""

    findings: Findings
    history: History = field(default_factory=History)
    observations: list[Observation] = field(default_factory=list)
    held: dict[str, int] = field(default_factory=dict)
    accepted_at: dict[int, float] = field(default_factory=dict)
    beliefs: dict[tuple[Holder, int], float] = field(default_factory=dict)
    _expected: dict[int, str] = field(default_factory=dict)

    def accepted(self, at: float, batch: Batch, version: int) -> None:
        """Take an operator's positive answer."""
        complaint = self.history.accept(version, batch)
        if complaint:
            self.findings.add(Rule.TWO_WINNERS, at, "operator", complaint)
        self.accepted_at.setdefault(version, at)
        if batch.HasField("expected_version"):
            self._check_race(at, batch)

    def _check_race(self, at: float, batch: Batch) -> None:
        winner = self._expected.setdefault(batch.expected_version, batch.request_id)
        if winner != batch.request_id:
            detail = f"{winner} and {batch.request_id} both expected {batch.expected_version}"
            self.findings.add(Rule.TWO_WINNERS, at, "operator", detail)

    def read(self, at: float, answer: GetResponse, expected: int) -> None:
        """Take the answer to an operator's read; ``expected`` was answered before it was sent."""
        if answer.version < expected:
            detail = f"version {answer.version} was read after {expected} had been answered"
            self.findings.add(Rule.STALE_READ, at, "operator", detail)
        if SECRET_MARK in answer.SerializeToString():
            self.findings.add(Rule.SECRET_SHOWN, at, "operator", "a read returned a secret's value")

    def contradicted(self, at: float, detail: str) -> None:
        """Take a request that was answered once so and once otherwise."""
        self.findings.add(Rule.CONTRADICTED_ANSWER, at, "operator", detail)

    def observe(
        self, at: float, holder: Holder, version: int, resources: Iterable[VersionedResource]
    ) -> None:
        """Take what a holder holds now; call it on every change."""
        before = self.held.get(holder.name, 0)
        if version < before and holder.ordered:
            detail = f"went from version {before} back to {version}"
            self.findings.add(Rule.VERSION_ORDER, at, holder.name, detail)
        self.held[holder.name] = max(version, before)
        held = set_of(resources)
        for line in dangling_references(held):
            self.findings.add(Rule.DANGLING_REFERENCE, at, holder.name, line)
        self.observations.append(Observation(at, holder, version, held))

    def believes(self, holder: Holder, fresh_at: float, version: int) -> None:
        """Take a holder's belief that ``version`` was current at ``fresh_at``."""
        key = (holder, version)
        if fresh_at > self.beliefs.get(key, 0.0):
            self.beliefs[key] = fresh_at

    def judge_beliefs(self) -> None:
        """Check that nothing accepted before a holder's freshness is missing from its scope."""
        states = self.history.states()
        for (holder, version), fresh_at in self.beliefs.items():
            before = [item for item, at in self.accepted_at.items() if at < fresh_at]
            latest = max(before, default=0)
            held = max(item for item in states if item <= version)
            if latest <= held:
                continue
            scope = holder.services
            missing = states[latest] != states[held]
            if scope is not None:
                missing = restrict(states[latest], scope) != restrict(states[held], scope)
            if missing:
                detail = f"held {version} to be current at {fresh_at:.3f} s; accepted: {latest}"
                self.findings.add(Rule.FALSE_FRESHNESS, fresh_at, holder.name, detail)

    def judge_observations(self) -> None:
        """Compare every observation with the reference; call once all answers are in."""
        states = self.history.states()
        versions = sorted(states)
        for version in versions:
            for line in dangling_references(states[version]):
                self.findings.add(Rule.DANGLING_ACCEPTED, 0.0, f"version {version}", line)
        cache: dict[tuple[int, frozenset[str] | None], dict[Key, Held]] = {}
        for seen in self.observations:
            base = max(version for version in versions if version <= seen.version)
            scope = seen.holder.services
            expected = cache.get((base, scope))
            if expected is None:
                whole = states[base]
                expected = whole if scope is None else restrict(whole, scope)
                cache[(base, scope)] = expected
            if expected != seen.resources:
                self._report_difference(seen, expected)

    def judge_liveness(self, at: float, live: Iterable[Holder]) -> None:
        """Check that the latest accepted state is in force on every live holder."""
        whole = self.history.states()[self.history.latest]
        last = {seen.holder.name: seen for seen in self.observations}
        for holder in live:
            expected = whole if holder.services is None else restrict(whole, holder.services)
            seen = last.get(holder.name)
            resources = seen.resources if seen is not None else {}
            if resources != expected:
                version = seen.version if seen is not None else 0
                detail = f"holds {version}, accepted {self.history.latest}: " + _difference(
                    resources, expected
                )
                self.findings.add(Rule.NOT_IN_FORCE, at, holder.name, detail)

    def judge_staleness(self, readers: Iterable[Holder], limit: float) -> None:
        """Check that no change took a reader longer than ``limit`` seconds.

        For runs in which a way to a current publisher stayed open all the time.
        """
        states = self.history.states()
        for reader in readers:
            scope = reader.services or frozenset()
            seen = [item for item in self.observations if item.holder.name == reader.name]
            before = restrict(states[0], scope)
            for version in self.history.versions:
                after = restrict(states[version], scope)
                if after != before:
                    self._check_delay(reader, version, seen, limit)
                before = after

    def _check_delay(
        self, reader: Holder, version: int, seen: list[Observation], limit: float
    ) -> None:
        accepted = self.accepted_at[version]
        reached = min((item.at for item in seen if item.version >= version), default=None)
        if reached is None or reached - accepted > limit:
            delay = "never" if reached is None else f"after {reached - accepted:.2f} s"
            detail = f"version {version} accepted at {accepted:.2f} s came {delay}"
            self.findings.add(Rule.STALE_TOO_LONG, accepted, reader.name, detail)

    def settled_at(self) -> float:
        """Return from when on every holder held the latest accepted state, 0 if none does."""
        whole = self.history.states()[self.history.latest]
        since: dict[str, float] = {}
        expected: dict[frozenset[str] | None, ResourceSet] = {None: whole}
        for seen in self.observations:
            scope = seen.holder.services
            if scope is not None and scope not in expected:
                expected[scope] = restrict(whole, scope)
            if seen.resources == expected[scope]:
                since.setdefault(seen.holder.name, seen.at)
            else:
                since.pop(seen.holder.name, None)
        return max(since.values(), default=0.0)

    def convergence_times(self) -> list[float]:
        """Return, for each accepted version, seconds until every holder had held it."""
        times = []
        names = {seen.holder.name for seen in self.observations}
        for version, began in self.accepted_at.items():
            reached: dict[str, float] = {}
            for seen in self.observations:
                if seen.version >= version:
                    reached.setdefault(seen.holder.name, seen.at)
            if len(reached) == len(names):
                times.append(max(0.0, max(reached.values(), default=began) - began))
        return times

    def _report_difference(self, seen: Observation, expected: dict[Key, Held]) -> None:
        extra = {key for key in seen.resources if key not in expected}
        rule = Rule.PARTIAL_VERSION
        if any(key.kind == "secret" for key in extra):
            rule = Rule.SECRET_OUT_OF_SCOPE
        detail = f"version {seen.version}: " + _difference(seen.resources, expected)
        self.findings.add(rule, seen.at, seen.holder.name, detail)


def _difference(seen: dict[Key, Held], expected: dict[Key, Held]) -> str:
    lacks = sorted(str(key) for key in expected if key not in seen)
    extra = sorted(str(key) for key in seen if key not in expected)
    other = sorted(str(key) for key in expected if key in seen and seen[key] != expected[key])
    return f"lacks {lacks[:3]}, has besides {extra[:3]}, differs in {other[:3]}"
