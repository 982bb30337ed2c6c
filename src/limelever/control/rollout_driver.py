"""Drives the rollouts that run: looks at their evidence, and puts their steps and their end.

Every control process looks, as each holds all evidence; only the leader's changes are taken.
"""

from __future__ import annotations

from collections.abc import Callable

import trio
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.control import events
from limelever.control.rollouts import RolloutDesk, completed, rolled_back, unix_ms
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

LOOK_SECONDS = 0.1
"""Between two looks at the rollouts that run; a bad version is stopped this much later."""

CHANGE_SECONDS = 1.0
"""Time for a step to be committed before it is tried again, on top of what is known then."""

_MILLISECONDS = 1000.0
_NOT_LEADING = frozenset({ErrorKind.NOT_LEADER, ErrorKind.NO_QUORUM, ErrorKind.DRAINING})


class _Clock(Struct):
    """When a rollout was first seen, and how long it had run: the time of day may jump later."""

    ordered_at_ms: int
    seen_at: float
    elapsed: float


class RolloutDriver:
    """Carries out what ``progression`` decides; times in seconds."""

    def __init__(
        self, rollouts: RolloutDesk, relay: Callable[[], RelayCore | None], limits: ExposureLimit
    ) -> None:
        self._rollouts = rollouts
        self._relay = relay
        self._limits = limits
        self._clocks: dict[str, _Clock] = {}

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await trio.sleep(LOOK_SECONDS)
            relay = self._relay()
            for rollout in tuple(relay.rollouts.values()) if relay is not None else ():
                if rollout.state == ROLLOUT_STATE_RUNNING:
                    assert relay is not None
                    await self._look(relay, rollout)

    async def _look(self, relay: RelayCore, rollout: Rollout) -> None:
        tallies = relay.endpoints.tallies.of(rollout.service, rollout.ordered_at_ms)
        ours = merge_tallies(tally for tally in tallies if tally.version == rollout.target)
        theirs = merge_tallies(tally for tally in tallies if tally.version != rollout.target)
        verdict = analyze(ours, theirs)
        running = self._running(relay, rollout)
        decision = decide(running, verdict, self._limits)
        if isinstance(decision, Wait):
            return
        with trio.move_on_after(CHANGE_SECONDS):
            await self._put(rollout, decision, verdict)

    async def _put(self, rollout: Rollout, decision: Decision, verdict: Verdict) -> None:
        def changed(held: Rollout | None) -> Rollout | Failure | None:
            if held is None:
                return Failure(ErrorKind.NOT_FOUND, "the rollout went with its service")
            over = held.state != ROLLOUT_STATE_RUNNING
            if over or held.ordered_at_ms != rollout.ordered_at_ms:
                return None
            return _after(held, decision)

        result = await self._rollouts.change(rollout.service, changed)
        if isinstance(result, Failure):
            if result.kind not in _NOT_LEADING:
                fields: dict[str, object] = {"service": rollout.service, "reason": str(result)}
                write_event(events.ROLLOUT_STEP_FAILED, fields)
            return
        told: dict[str, object] = {
            "service": rollout.service,
            "target": rollout.target,
            "permille": result.permille,
            "state": int(result.state),
            "reason": verdict.reason,
        }
        write_event(events.ROLLOUT_MOVED, told)

    def _running(self, relay: RelayCore, rollout: Rollout) -> RolloutProgress:
        endpoints = relay.endpoints.table.of_service(rollout.service)
        ready = [each.version for each in endpoints if each.state == ENDPOINT_STATE_READY]
        target_ready = ready.count(rollout.target)
        return RolloutProgress(
            permille=rollout.permille,
            elapsed=self._elapsed(rollout),
            duration=rollout.duration_ms / _MILLISECONDS,
            baseline_ready=len(ready) - target_ready,
            target_ready=target_ready,
        )

    def _elapsed(self, rollout: Rollout) -> float:
        now = trio.current_time()
        clock = self._clocks.get(rollout.service)
        if clock is None or clock.ordered_at_ms != rollout.ordered_at_ms:
            elapsed = max(0.0, (unix_ms() - rollout.ordered_at_ms) / _MILLISECONDS)
            clock = _Clock(rollout.ordered_at_ms, now, elapsed)
            self._clocks[rollout.service] = clock
        return clock.elapsed + now - clock.seen_at


def _after(held: Rollout, decision: Decision) -> Rollout:
    """Return a rollout after a step or its end."""
    match decision:
        case Advance(permille):
            moved = Rollout()
            moved.CopyFrom(held)
            moved.permille = max(held.permille, permille)
            return moved
        case Finish(True, reason):
            return completed(held, reason)
        case Finish(False, reason):
            return rolled_back(held, reason)
    return held
