"""An agent under load beside an instance that states a limit, in virtual time."""

from __future__ import annotations

import heapq

from agent_harness import PROXY, PROXY_CONNECTION, call_start
from warm_up_harness import WarmUpLoad

from limelever.agent.instance_signals import InstanceSignals, parse_signals
from limelever.agent.interface import AttemptAnswered, StartAttempt
from limelever.common.http_headers import HeaderNames
from limelever.common.sansio import ConnectionOpened, Event, MessageReceived

NAMES = HeaderNames(limit=(b"limit",), leaving=(b"leaving",))
DEADLINE_MS = 1000


def signals_of(limit: str | None, *, leaving: bool = False) -> InstanceSignals:
    """Return what an agent reads from a response with these headers."""
    headers = [] if limit is None else [(b"limit", limit.encode())]
    headers += [(b"leaving", b"1")] if leaving else []
    return parse_signals(tuple(headers), NAMES)


class StatedLoad(WarmUpLoad):
    """Answers calls with what the instance states at the moment of the response.

    ``known_limit`` is what proxies send with their calls, ``limit_changes`` are the limits that the
    agent had in force, with the times from which it had.
    """

    def __init__(self, limit: float | None = None, slots: int = 6, warm_up: float = 0.0) -> None:
        self.limit = limit
        self.leaving = False
        self.known_limit = 0.0
        self.limit_changes: list[tuple[float, float]] = []
        self._last_limit = 0.0
        super().__init__(warm_up, slots)

    def signals(self) -> InstanceSignals:
        return signals_of(None if self.limit is None else f"{self.limit:g}", leaving=self.leaving)

    def add_proxies(self, count: int) -> list[int]:
        """Connect more proxies; return the connections of all."""
        for number in range(1, count):
            connection = PROXY_CONNECTION + 2 * number
            self.proxies.add(connection)
            self.handle(ConnectionOpened(connection, PROXY))
        return sorted(self.proxies)

    def call(self, left: float = DEADLINE_MS / 1000, connection: int = PROXY_CONNECTION) -> None:
        self.next_stream += 1
        start = call_start(self.next_stream - 1, deadline_left_ms=round(left * 1000))
        start.known_limit = self.known_limit
        self.handle(MessageReceived(connection, start))

    def handle(self, event: Event) -> None:
        if isinstance(event, AttemptAnswered) and event.signals == InstanceSignals():
            event = AttemptAnswered(event.attempt, event.status, (), b"", signals=self.signals())
        super().handle(event)
        if self.stated_limit != self._last_limit:
            self._last_limit = self.stated_limit
            self.limit_changes.append((self.now, self.stated_limit))

    def respond(self, attempt: int, signals: InstanceSignals) -> None:
        """Answer a call with these statements."""
        self._answers = [each for each in self._answers if each[1] != attempt]
        heapq.heapify(self._answers)
        super().handle(AttemptAnswered(attempt, 200, (), b"", signals=signals))

    def start_one(self, seconds: float) -> int:
        """Start a call that takes ``seconds``; return its attempt."""
        usual, self.work_seconds = self.work_seconds, seconds
        self.call(left=2 * seconds)
        self.work_seconds = usual
        return self.outputs_of(StartAttempt)[-1].attempt  # type: ignore[attr-defined]

    @property
    def stated_limit(self) -> float:
        return self.core._calls.instance_limit.calls_per_s
