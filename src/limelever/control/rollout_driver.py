"""Advances running rollouts: analyzes the tallies of calls, then writes the next step or the end.

Every control process does so, as each has all tallies; only the leader's writes are accepted.
"""

from __future__ import annotations

from collections.abc import Callable

import trio
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.control import events
from limelever.control.rollout_store import RolloutStore, completed, rolled_back, unix_ms
from limelever.protocol.config_pb2 import ROLLOUT_STATE_RUNNING, Rollout
from limelever.protocol.endpoints_pb2 import ENDPOINT_STATE_READY
from limelever.relay.core import RelayCore
from limelever.rollout.canary_analysis import Verdict, analyze
from limelever.rollout.progression import (
    Advance,
    Decision,
    ExposureLimit,
    Finish,
    RolloutProgress,
    Wait,
    decide,
)
from limelever.rollout.tally import merge_tallies
from limelever.transport.log import write_event

POLL_INTERVAL_SECONDS = 0.1
"""Interval between evaluations of running rollouts; delays the rollback of a bad version."""

WRITE_TIMEOUT_SECONDS = 1.0
"""Time allowed for a write to commit; after it the rollout is evaluated again."""

_MILLISECONDS_PER_SECOND = 1000.0
_EXPECTED_ERROR_KINDS = frozenset({ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM, ErrorKind.DRAINING})
"""Failures of a write that are not logged: another replica leads, or none does at present."""


class _RolloutClock(Struct):
    """Measures on the monotonic clock how long a rollout has run, as the wall clock may be changed.

    ``first_seen_at`` is when this process first saw the rollout, and ``elapsed_when_seen`` the time
    from the order until then; both in seconds.
    """

    ordered_at_ms: int
    first_seen_at: float
    elapsed_when_seen: float


class RolloutDriver:
    """Applies the decisions of ``limelever.rollout.progression`` to running rollouts."""

    def __init__(
        self,
        rollouts: RolloutStore,
        relay: Callable[[], RelayCore | None],
        exposure_limit: ExposureLimit,
    ) -> None:
        self._rollouts = rollouts
        self._relay = relay
        self._exposure_limit = exposure_limit
        self._clocks: dict[str, _RolloutClock] = {}

    async def run(self) -> None:
        """Evaluate the running rollouts until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_SECONDS)
            relay = self._relay()
            for rollout in tuple(relay.rollouts.values()) if relay is not None else ():
                if rollout.state == ROLLOUT_STATE_RUNNING:
                    assert relay is not None
                    await self._evaluate(relay, rollout)

    async def _evaluate(self, relay: RelayCore, rollout: Rollout) -> None:
        tallies = relay.endpoints.tallies.for_rollout(rollout.service, rollout.ordered_at_ms)
        target_tally = merge_tallies(tally for tally in tallies if tally.version == rollout.target)
        other_tally = merge_tallies(tally for tally in tallies if tally.version != rollout.target)
        verdict = analyze(target_tally, other_tally)
        progress = self._progress(relay, rollout)
        decision = decide(progress, verdict, self._exposure_limit)
        if isinstance(decision, Wait):
            return
        with trio.move_on_after(WRITE_TIMEOUT_SECONDS):
            await self._write(rollout, decision, verdict)

    async def _write(self, rollout: Rollout, decision: Decision, verdict: Verdict) -> None:
        def updated(current: Rollout | None) -> Rollout | Failure | None:
            if current is None:
                return Failure(ErrorKind.NOT_FOUND, "the rollout was deleted with its service")
            ended = current.state != ROLLOUT_STATE_RUNNING
            if ended or current.ordered_at_ms != rollout.ordered_at_ms:
                return None
            return _with_decision(current, decision)

        result = await self._rollouts.update(rollout.service, updated)
        if isinstance(result, Failure):
            if result.kind not in _EXPECTED_ERROR_KINDS:
                failed: dict[str, object] = {"service": rollout.service, "reason": str(result)}
                write_event(events.ROLLOUT_STEP_FAILED, failed)
            return
        fields: dict[str, object] = {
            "service": rollout.service,
            "target": rollout.target,
            "permille": result.permille,
            "state": int(result.state),
            "reason": verdict.reason,
        }
        write_event(events.ROLLOUT_MOVED, fields)

    def _progress(self, relay: RelayCore, rollout: Rollout) -> RolloutProgress:
        endpoints = relay.endpoints.table.of_service(rollout.service)
        ready = [
            endpoint.version for endpoint in endpoints if endpoint.state == ENDPOINT_STATE_READY
        ]
        target_ready = ready.count(rollout.target)
        return RolloutProgress(
            permille=rollout.permille,
            elapsed=self._elapsed(rollout),
            duration=rollout.duration_ms / _MILLISECONDS_PER_SECOND,
            baseline_ready=len(ready) - target_ready,
            target_ready=target_ready,
        )

    def _elapsed(self, rollout: Rollout) -> float:
        now = trio.current_time()
        clock = self._clocks.get(rollout.service)
        if clock is None or clock.ordered_at_ms != rollout.ordered_at_ms:
            elapsed = max(0.0, (unix_ms() - rollout.ordered_at_ms) / _MILLISECONDS_PER_SECOND)
            clock = _RolloutClock(rollout.ordered_at_ms, now, elapsed)
            self._clocks[rollout.service] = clock
        return clock.elapsed_when_seen + now - clock.first_seen_at


def _with_decision(current: Rollout, decision: Decision) -> Rollout:
    """Return the rollout with a decision applied."""
    match decision:
        case Advance(permille):
            advanced = Rollout()
            advanced.CopyFrom(current)
            advanced.permille = max(current.permille, permille)
            return advanced
        case Finish(True, reason):
            return completed(current, reason)
        case Finish(False, reason):
            return rolled_back(current, reason)
    return current
