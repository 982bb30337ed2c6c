"""Judges requests on kept connections: whether each that a node has read was answered.

A request counts as read if an instance ran it, or if it was the first unanswered one on its
connection and sent ``READ_SECONDS`` before the connection ended. It is judged if nothing unplanned
came to any machine from ``CONTACT_SECONDS`` before it to its end. Two ends are allowed, counted
apart: at the request's deadline, and within the last sixth of the grace time while an instance is
at work on it.

A stopping node's own 5xx in place of an instance at work breaks a promise until that last sixth. It
is allowed, counted apart, where the instance is beside another node that was stopping too.
"""

from __future__ import annotations

from collections import Counter

from journal_instances import MILLISECONDS, Journal, Work
from kept_callers import UPLOAD, Exchange
from kept_connection import SILENT, WHOLE
from platform_machines import GRACE_SECONDS
from platform_traffic import NOT_RUN, OK, WRITE
from strike_log import START, STOP, StrikeLog

READ_SECONDS = 0.2
"""As long as a node may take to read what was sent to it; a bound of the platform."""

CONTACT_SECONDS = 3.0
"""Before a request: what was struck then isn't counted as calm; a bound of the platform."""

LAST_PART_SECONDS = GRACE_SECONDS * 5 / 6
"""After SIGTERM: from then on a node may leave instances at work."""

LAST_PLANNED_SEND_SECONDS = 3.0
"""After SIGTERM: later requests aren't excused by that; a bound of the platform."""

LAST_END_SECONDS = GRACE_SECONDS + 1.0
CLOCK_SECONDS = 0.05
"""What the caller's and the node's times of one deadline may differ by; a choice."""

ONCE = frozenset({WRITE, UPLOAD})
DENIALS = frozenset(range(300, 500)) - NOT_RUN


class AnswerAudit:
    """What the exchanges of a run break, and how many of each kind there were."""

    def __init__(self, journal: Journal, strikes: StrikeLog) -> None:
        self._journal, self._strikes = journal, strikes
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()

    def check(self, exchange: Exchange) -> None:
        """Count an exchange, and note what it breaks."""
        runs = self._journal.of(exchange.request)
        self.counts[f"{exchange.end} {exchange.status or ''}".strip()] += 1
        self._check_runs(exchange, runs)
        if exchange.end != WHOLE:
            self._check_end(exchange, runs)
        else:
            self._check_answer(exchange, runs)

    def _check_runs(self, exchange: Exchange, runs: list[Work]) -> None:
        refused = exchange.end == WHOLE and exchange.status in NOT_RUN
        if exchange.kind in ONCE and len(runs) > 1:
            self._break("ran more than once", exchange, runs)
        if exchange.kind in ONCE and refused and runs:
            self._break("was refused as not run, and ran", exchange, runs)
        if any(run.path != exchange.path for run in runs):
            self._break("ran with another path", exchange, runs)
        if not exchange.is_own or exchange.status == OK and not runs:
            self._break("has another's answer, or one without a run", exchange, runs)
        if exchange.end == WHOLE and exchange.status in DENIALS:
            self._break("was denied", exchange, runs)

    def _check_end(self, exchange: Exchange, runs: list[Work]) -> None:
        if not exchange.sent_at:
            return
        waited = exchange.ended_at - (exchange.first_in_line_at or exchange.ended_at)
        if not runs and not exchange.received and waited < READ_SECONDS:
            self.counts["unanswered, not counted as read"] += 1
            print(f"not counted as read: {self._told(exchange, runs)}", flush=True)
        elif self._strikes.had_unplanned(exchange.sent_at - CONTACT_SECONDS, exchange.ended_at):
            self.counts["unanswered beside something unplanned"] += 1
        elif exchange.end == SILENT:
            self._break("had no answer long after its deadline", exchange, runs)
        elif exchange.ended_at >= _deadline(exchange) - CLOCK_SECONDS:
            self.counts["unanswered, ended at the deadline"] += 1
        elif self._in_last_part(exchange, runs):
            self.counts["unanswered, instance at work in the last sixth of the grace time"] += 1
        else:
            self._break("was not answered", exchange, runs)

    def _check_answer(self, exchange: Exchange, runs: list[Work]) -> None:
        """Judge a stopping node's own 5xx: no instance that could have answered is at work."""
        at_work = [run for run in runs if run.ends_at > exchange.ended_at + CLOCK_SECONDS]
        if not at_work or not self._answered_while_stopping(exchange):
            return
        if all(self._other_stops(exchange, run) for run in at_work):
            self.counts["own answers in place of an instance whose node was stopping too"] += 1
            print(f"in place, both stopping: {self._told(exchange, runs)}", flush=True)
        else:
            self._break("was answered in place of an instance at work", exchange, runs)

    def _in_last_part(self, exchange: Exchange, runs: list[Work]) -> bool:
        return any(
            exchange.sent_at <= stop + LAST_PLANNED_SEND_SECONDS
            and stop + LAST_PART_SECONDS <= exchange.ended_at <= stop + LAST_END_SECONDS
            and any(run.ends_at >= stop + LAST_PART_SECONDS for run in runs)
            for stop in self._stops(exchange)[:1]
        )

    def _answered_while_stopping(self, exchange: Exchange) -> bool:
        """Return whether a 5xx came after SIGTERM, before the last part, with nothing unplanned."""
        if exchange.status // 100 != 5 or exchange.ended_at >= _deadline(exchange) - CLOCK_SECONDS:
            return False
        stops = self._stops(exchange)
        if not stops or exchange.ended_at >= stops[0] + LAST_PART_SECONDS:
            return False
        since = exchange.sent_at - CONTACT_SECONDS
        return not self._strikes.had_unplanned(since, exchange.ended_at)

    def _other_stops(self, exchange: Exchange, run: Work) -> bool:
        """Return whether a run was beside another node, which was stopping by the answer's time."""
        if run.instance == exchange.node:
            return False
        return bool(self._stops_of(run.instance, run.begun_at, exchange.ended_at))

    def _stops(self, exchange: Exchange) -> list[float]:
        """Return when the process that a caller spoke to was asked to stop, first time first."""
        return self._stops_of(exchange.node, exchange.opened_at, exchange.ended_at)

    def _stops_of(self, machine: str, running_at: float, until: float) -> list[float]:
        """Return when the process that a machine had at a time was asked to stop, until another."""
        strikes = self._strikes.of(machine, until - LAST_END_SECONDS, until)
        started_at = max(
            (each.at for each in strikes if each.what == START and each.at <= running_at),
            default=0.0,
        )
        return [each.at for each in strikes if each.what == STOP and each.at > started_at]

    def _break(self, what: str, exchange: Exchange, runs: list[Work]) -> None:
        self.counts[f"broken: {what}"] += 1
        self.broken.append(f"{what}: {self._told(exchange, runs)}")

    def _told(self, exchange: Exchange, runs: list[Work]) -> str:
        begin = exchange.sent_at - LAST_END_SECONDS
        told = [
            f"{strike.machine} {strike.what} {strike.at - exchange.sent_at:+.3f}"
            for name in dict.fromkeys((exchange.node, *(run.instance for run in runs)))
            for strike in self._strikes.of(name, begin, exchange.ended_at)
        ]
        ran = [
            f"{run.instance} {run.begun_at - exchange.sent_at:+.3f} to "
            f"{run.ends_at - exchange.sent_at:+.3f}"
            for run in runs
        ]
        return f"{exchange}, ended {exchange.ended_at - exchange.sent_at:+.3f}, ran {ran}, {told}"


def _deadline(exchange: Exchange) -> float:
    return exchange.sent_at + exchange.deadline_ms / MILLISECONDS
