"""Detects an unresponsive back end from calls that are overdue.

A single proxy calls an instance too rarely to notice its failure early. The agent sees all calls
of its instance: once all running calls are overdue, it checks whether a new connection opens. If
not, the back end is considered unresponsive.
"""

from __future__ import annotations

import math

from msgspec import Struct, field

from limelever.agent.interface import ConnectResult

OVERDUE_FACTOR = 3.0
"""Multiple of its usual service time after which a call is overdue. Of calls whose service times
have a lognormal spread of 0.8, 3 to 4 in 100 are, but seldom all that run at once."""

OVERDUE_MARGIN_SECONDS = 0.1
"""Added to the limit, so that a delay of the agent's own process makes no call overdue."""

DEFAULT_SERVICE_TIME_SECONDS = 0.5
"""Service time assumed while none was observed; allows for cold starts."""

CHECK_INTERVAL_SECONDS = 0.25
"""Time between two checks of an unresponsive back end."""


class LivenessMonitor(Struct):
    """Liveness of one back end; times are monotonic seconds.

    ``unresponsive`` is set when a connection does not open or the process exits, and cleared when
    a connection opens or a call is answered.
    """

    unresponsive: bool = False
    _process_exited: bool = False
    _overdue_at: dict[int, float] = field(default_factory=dict)
    _checking: bool = False
    _not_before: float = -math.inf

    @property
    def checking(self) -> bool:
        """Return whether a connection check is in progress."""
        return self._checking

    def call_started(self, call: int, service_time: float, now: float) -> None:
        """Record that a call was started; ``service_time`` is 0 if unknown."""
        usual = service_time or DEFAULT_SERVICE_TIME_SECONDS
        self._overdue_at[call] = now + usual * OVERDUE_FACTOR + OVERDUE_MARGIN_SECONDS

    def call_ended(self, call: int, answered: bool) -> None:
        """Record that a call ended, with or without an answer from the back end."""
        self._overdue_at.pop(call, None)
        if answered:
            self.unresponsive = self._process_exited = False

    def process_exited(self, now: float) -> None:
        """Record that the process has exited; only a new connection clears this state."""
        self.unresponsive = self._process_exited = True
        self._not_before = now + CHECK_INTERVAL_SECONDS

    def start_check(self, now: float) -> bool:
        """Return whether a check is due, and mark it as started.

        :meth:`check_finished` takes its result.
        """
        due = self.next_deadline()
        if due is None or now < due:
            return False
        self._checking = True
        return True

    def check_finished(self, result: ConnectResult, now: float) -> bool:
        """Record the result of a check; return whether the back end has become unresponsive.

        A refused connection counts as a response, unless the process is known to have exited.
        """
        self._checking = False
        refused = result is ConnectResult.REFUSED
        reached = result is ConnectResult.OPENED or (refused and not self._process_exited)
        if reached:
            self._process_exited = False
        self._not_before = now + CHECK_INTERVAL_SECONDS
        stopped_responding = not reached and not self.unresponsive
        self.unresponsive = not reached
        return stopped_responding

    def next_deadline(self) -> float | None:
        """Return when the next check is due, ``None`` if none is needed."""
        if self._checking:
            return None
        if self.unresponsive:
            return self._not_before
        if not self._overdue_at:
            return None
        return max(self._not_before, *self._overdue_at.values())
