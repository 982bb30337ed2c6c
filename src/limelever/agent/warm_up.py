"""The warm-up of the back end beside an agent: applies news of it and logs its changes."""

from __future__ import annotations

from limelever.agent import events
from limelever.agent.interface import (
    BackendProbed,
    CallsLimited,
    WarmUpForgotten,
    WarmUpReported,
)
from limelever.agent.start_limiter import StartLimiter, StartLimits
from limelever.agent.warm_up_state import StartLimit, WarmUpSnapshot, WarmUpState
from limelever.common.sansio import Event, LogEvent, Output

DEFAULT_WARM_UP_SECONDS = 1.0
"""Remaining time reported to proxies while it isn't known and the service has no warm-up time."""

_MILLISECONDS = 1000


class WarmUp:
    """Holds the state and the limiter of one back end; times are monotonic seconds.

    With ``held`` no call is started before the service's limit is configured.
    """

    def __init__(self, limits: StartLimits, *, held: bool = False) -> None:
        self._state = WarmUpState(limits.report_interval)
        self.limiter = StartLimiter(limits, self._state, held=held)
        self._default_left = DEFAULT_WARM_UP_SECONDS
        self._logged: WarmUpSnapshot | None = None

    def configure(self, calls_per_s: float, warm_up_seconds: float, now: float) -> bool:
        """Set the service's limit, 0 for none; return whether more calls may start now."""
        self._default_left = warm_up_seconds or DEFAULT_WARM_UP_SECONDS
        return self.limiter.configure(calls_per_s, now)

    def handle(self, event: Event, now: float) -> bool:
        """Apply news of the back end's warm-up; return whether the event was any."""
        match event:
            case WarmUpReported(sequence, left):
                self._state.report(sequence, left, now)
            case BackendProbed(_, float() as left):
                self._state.probe(left, now)
            case WarmUpForgotten():
                self._state.reset(now)
            case _:
                return False
        return True

    def reset(self, now: float) -> None:
        """Return to "not known", which counts as warming up, until the next report."""
        self._state.reset(now)

    def unconfirm(self) -> None:
        """Limit the calls in any second until the next report: another process may answer."""
        self._state.unconfirm()

    def observe_event(self, now: float) -> None:
        """Record that the process runs, to notice when it was suspended."""
        self._state.observe_event(now)

    def next_deadline(self) -> float | None:
        """Return when the next event is needed; ``None`` without a limit."""
        return self._state.next_tick() if self.limiter.limits_warm_up else None

    def left_ms(self, now: float) -> int:
        """Return the remaining warm-up time to report to proxies, in milliseconds; 0 if warm.

        While it isn't known, it is the service's whole warm-up time.
        """
        if not self.limiter.limits_warm_up:
            return 0
        state = self._state.at(now)
        if state.limit is not StartLimit.BUCKET:
            return 0
        return max(1, round((state.left if state.known else self._default_left) * _MILLISECONDS))

    def take_outputs(self, now: float) -> list[Output]:
        """Return what is to be logged and counted."""
        counts = self.limiter.take_warm_up_counts()
        counted = [] if counts is None else [CallsLimited(counts.delayed, counts.refused)]
        return [*self._changes(now), *counted]

    def _changes(self, now: float) -> list[LogEvent]:
        """Return the event to log if the state has changed between warm, warming and not known."""
        if not self.limiter.limits_warm_up:
            self._logged = None
            return []
        state, logged = self._state.at(now), self._logged
        cold = state.limit is StartLimit.BUCKET
        if logged is not None:
            was_cold = logged.limit is StartLimit.BUCKET
            if (was_cold, logged.known) == (cold, state.known):
                return []
        self._logged = state
        if not cold:
            return [LogEvent(events.WARM_UP_ENDED)]
        if not state.known:
            return [LogEvent(events.WARM_UP_NOT_KNOWN)]
        fields: dict[str, object] = {"left_milliseconds": round(state.left * _MILLISECONDS)}
        return [LogEvent(events.WARM_UP_STARTED, fields)]
