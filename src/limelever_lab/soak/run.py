"""Runs a soak: rounds of drawn faults on a fleet of real processes under calls and changes."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from limelever.keeper.events import KEEPER_FORMED
from limelever_lab.fleet.faults import Fault, Target, count_events
from limelever_lab.fleet.probe import LIVENESS_LIMIT_SECONDS, ProbedFleet
from limelever_lab.soak.plan import BACK_END, SOURCE, Strike, draw_round

CHANGE_PERIOD_SECONDS = 1.0
STOP_LIMIT_SECONDS = 40.0

Say = Callable[[str], None]


@dataclass(slots=True)
class SoakResult:
    """What a soak came to; ``broken`` tells each promise that did not hold."""

    rounds: int = 0
    strikes: int = 0
    changes: int = 0
    answered: int = 0
    broken: list[str] = field(default_factory=list)


class Soak:
    """One soak of a fleet that is started already."""

    def __init__(self, fleet: ProbedFleet, seed: int, say: Say) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._say = say
        self._result = SoakResult()
        self._sizes = {
            role: len(fleet.find(f"every {role}"))
            for role in (SOURCE, "relay", "proxy", "agent", BACK_END)
        }

    def run(self, seconds: float) -> SoakResult:
        """Run rounds for about ``seconds``, or until a promise is broken."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self._result.broken:
            self._run_round()
        return self._result

    def _run_round(self) -> None:
        strikes = draw_round(self._random, self._sizes)
        self._result.rounds += 1
        self._result.strikes += len(strikes)
        for strike in strikes:
            self._say(f"round {self._result.rounds}  {strike}")
        self._fleet.begin_calls()
        try:
            self._carry_out(strikes)
            self._check_liveness()
        except (TimeoutError, RuntimeError) as error:
            self._result.broken.append(f"round {self._result.rounds}: {error}")
        self._check_calls()

    def _carry_out(self, strikes: tuple[Strike, ...]) -> None:
        """Strike and bring back as planned, with changes in between; then wait for all."""
        order = itertools.count()
        agenda: list[tuple[float, int, Callable[[], None]]] = []
        formed = [self._keeper_watch(strike) for strike in strikes]
        for strike in strikes:
            target = self._target(strike)
            heapq.heappush(agenda, (strike.at, next(order), self._striking(strike, target)))
            heapq.heappush(agenda, (strike.until, next(order), self._bringing_back(strike, target)))
        begun = time.monotonic()
        while agenda:
            at, _, action = heapq.heappop(agenda)
            while (left := begun + at - time.monotonic()) > 0:
                time.sleep(min(left, CHANGE_PERIOD_SECONDS))
            action()
        self._fleet.mend()
        for wait in formed:
            wait()

    def _target(self, strike: Strike) -> Target:
        (target,) = self._fleet.find(strike.target)
        return target

    def _striking(self, strike: Strike, target: Target) -> Callable[[], None]:
        return lambda: target.strike(strike.fault, self._fleet.network)

    def _bringing_back(self, strike: Strike, target: Target) -> Callable[[], None]:
        def bring_back() -> None:
            if strike.fault is Fault.STOPPED:
                self._wait_stopped(target)
            target.bring_back(self._fleet.network)

        return bring_back

    def _wait_stopped(self, target: Target) -> None:
        """Wait for the end of a planned stop, which must be in order."""
        target.process.resume()
        status = target.process.wait(STOP_LIMIT_SECONDS)
        if status != 0 and not target.name.startswith("backend"):
            raise RuntimeError(f"{target.name} ended a planned stop with status {status}")

    def _keeper_watch(self, strike: Strike) -> Callable[[], None]:
        """Return what waits until the keeper beside a lost disk votes again."""
        if strike.fault is not Fault.FOLDER_LOST:
            return lambda: None
        process = self._target(strike).process
        before = count_events(process, KEEPER_FORMED)
        return lambda: self._fleet.wait_keeper_formed(process, before)

    def _check_liveness(self) -> None:
        """With all processes back, a change is accepted and comes into force everywhere."""
        version = self._fleet.changes.apply()
        self._result.changes += 1
        members = [*self._fleet.fleet.proxies, *self._fleet.fleet.agents]
        self._fleet.fleet.wait_versions(members, version, LIVENESS_LIMIT_SECONDS)

    def _check_calls(self) -> None:
        outcome = self._fleet.end_calls()
        self._result.answered += outcome.answered
        if not outcome.audit.holds:
            self._result.broken.append(f"calls: {outcome.audit}")
        if outcome.reversions:
            self._result.broken.append(f"versions went back: {outcome.reversions}")
        if not outcome.answered:
            self._result.broken.append("no call was answered")
        held, last = self._fleet.changes.held_weight(), self._fleet.changes.last_weight
        if held != last:
            self._result.broken.append(f"the source holds change {held} of {last}")
