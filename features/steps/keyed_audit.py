"""What callers with keys, their instances and the logs show to be broken."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from keyed_calls import KEY_HEADER, KeyedRuns, KeyedSent, Told, key_headers
from platform_machines import Machine, NodeMachine
from platform_tenants import BURST, OPEN, RATE, RUSHED, TenantPlan
from platform_traffic import OK, READ, broken_by_calls, send

from limelever.limits.rules import Limit, LimitRules

UNKNOWN_KEY = 401
RULES = LimitRules()
LIMIT = Limit(RATE, BURST)


class KeyedAudit:
    """Judges requests by the configurations that an operator has put so far."""

    def __init__(self, plan: TenantPlan, runs: KeyedRuns) -> None:
        self._plan, self._runs = plan, runs
        self.counts: Counter[str] = Counter()
        self._limited: list[tuple[float, float]] = []

    def broken(self, sent: list[KeyedSent], newest: int) -> list[str]:
        """Return each promise that a request shows to be broken; ``newest`` may be on its way."""
        judged = [each for each in sent if not self._may_be_denied(each)]
        broken = broken_by_calls(judged, self._runs.by_id)
        for each in sent:
            told = self._runs.told(each.request)
            self._count(each, told)
            broken += self._by_runs(each, told, newest)
        return broken + self._by_limit()

    def _may_be_denied(self, each: KeyedSent) -> bool:
        """A key that isn't in all configurations may be denied, by 401 alone."""
        counts = each.kind == OPEN or each.key in self._plan.steady
        return not counts and each.answer.status == UNKNOWN_KEY

    def _by_runs(self, each: KeyedSent, told: list[Told], newest: int) -> Iterable[str]:
        holders = self._plan.holders_until(newest, each.key) if each.kind != OPEN else {""}
        if told and not holders:
            yield f"{each} ran, and no configuration held its key"
        if told and each.answer.status == UNKNOWN_KEY:
            yield f"{each} was denied, and ran"
        for run in told:
            if holders and run.tenant not in holders:
                yield f"{each}: the instance was told {run.tenant!r}, not one of {holders}"
            if KEY_HEADER.lower() in run.headers.lower() or self._is_in(run.headers):
                yield f"{each}: the instance got a key"

    def _is_in(self, text: str) -> bool:
        return any(key in text for key in self._plan.all_keys)

    def _count(self, each: KeyedSent, told: list[Told]) -> None:
        self.counts[f"{each.kind} {each.answer.status}"] += 1
        if told and each.key == self._plan.key_of(RUSHED) and each.kind != OPEN:
            self._limited.append((each.sent_at, min(run.at for run in told)))

    def _by_limit(self) -> list[str]:
        """Count the requests that were both sent and run in a window, from each one's sending."""
        most = RULES.max_calls(LIMIT)
        broken = []
        for start, _ in self._limited:
            end = start + RULES.window
            ran = sum(sent >= start and at <= end for sent, at in self._limited)
            if ran > most:
                broken.append(f"{ran} requests of {RUSHED} ran in {RULES.window} s, at most {most}")
        return broken[:1]

    def by_wandering_keys(self, node: NodeMachine, newest: int) -> Iterable[str]:
        """A node that serves by the newest configuration lets its keys in, and no others."""
        holders = self._plan.holders_at(newest)
        for number, key in enumerate(self._plan.wandering):
            request = f"key-{number}-{newest}-{node.name}"
            answer = send(node, request, READ, f"/{READ}/{request}", key_headers(key))
            told = {each.tenant for each in self._runs.told(request)}
            if key not in holders and (told or answer.status == OK):
                yield f"{node.name} let {key} in by r{newest}: {answer}"
            if key in holders and (answer.status == UNKNOWN_KEY or told - {holders[key]}):
                yield f"{node.name}, {key} by r{newest}: {answer}, told {told}"

    def in_logs(self, machines: Iterable[Machine]) -> list[str]:
        """Return the processes whose logs show a key."""
        written = [each for each in machines if each.log.exists()]
        return [
            f"{each.name} logged a key"
            for each in written
            if self._is_in(each.log.read_text(errors="replace"))
        ]
