"""Back-end stand-ins: slots, cold starts, shedding, echoes; they count what they run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    CancelAttempt,
    StartAttempt,
)
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Event, Output
from limelever_lab.simulator.call_checker import CallChecker
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.node import Life, Node

SEND_HEADER = b"x-simulator-send"
KEY_HEADER = b"idempotency-key"
SEPARATOR = b"|"
SHED_STATUS = 503
OK_STATUS = 200
FAST_SECONDS = 0.02
SLOW_SECONDS = 1.5
SLOW_CHANCE = 0.03
LEAVING_SLOW_CHANCE = 0.9
LEAVING_SLOW_SECONDS = 3.0
"""A back end that leaves is slow to finish, so that its agent stays."""
FAILING_CHANCE = 0.4
"""How often a failing back end refuses a connection, and how often it breaks a call off."""
REFUSED_CHANCE = 0.01
BROKEN_CHANCE = 0.01


def echo_of(target: bytes, body: bytes) -> bytes:
    """Return the answer that a request must get."""
    return target + SEPARATOR + body


@dataclass(slots=True)
class BackEnd:
    """The back end beside one agent; ``name`` is the agent's node name."""

    environment: Environment
    checker: CallChecker
    name: str
    slots: int = 6
    leaving: bool = False
    failing: bool = False
    on_once_only: Callable[[str], None] = lambda _send_id: None
    _running: dict[tuple[int, int], Life] = field(default_factory=dict)

    @property
    def busy(self) -> bool:
        """Return whether a call runs."""
        return bool(self._running)

    def take(self, node: Node, output: Output) -> bool:
        """Carry out an agent's output for its back end; return whether it was one."""
        if node.life is None:
            return False
        if isinstance(output, StartAttempt):
            self._start(node.life, output)
            return True
        if isinstance(output, CancelAttempt):
            self._cancel(node.life, output.attempt)
            return True
        return False

    def _start(self, life: Life, attempt: StartAttempt) -> None:
        source = self.environment.random
        if source.random() < (FAILING_CHANCE if self.failing else REFUSED_CHANCE):
            failure = Failure(ErrorKind.CONNECTION_FAILED, "back end refused the connection")
            self._later(life, 0.001, AttemptFailed(attempt.attempt, failure, False))
            return
        if len(self._running) >= self.slots:
            shed = AttemptAnswered(attempt.attempt, SHED_STATUS, (), b"shed")
            self._later(life, 0.001, shed)
            return
        headers = dict(attempt.headers)
        send_id = headers.get(SEND_HEADER, b"").decode()
        key = headers.get(KEY_HEADER, b"").decode()
        self.checker.run_began(self.environment.now, self.name, send_id, key)
        if key:
            self.on_once_only(send_id)
        identity = (life.number, attempt.attempt)
        self._running[identity] = life
        delay = self._draw_duration()
        broken = source.random() < (FAILING_CHANCE if self.failing else BROKEN_CHANCE)
        self.environment.after(delay, lambda: self._finish(identity, attempt, broken))

    def _draw_duration(self) -> float:
        source = self.environment.random
        chance = LEAVING_SLOW_CHANCE if self.leaving else SLOW_CHANCE
        if source.random() >= chance:
            return source.expovariate(1.0 / FAST_SECONDS)
        return source.expovariate(1.0 / (LEAVING_SLOW_SECONDS if self.leaving else SLOW_SECONDS))

    def _finish(self, identity: tuple[int, int], attempt: StartAttempt, broken: bool) -> None:
        life = self._running.pop(identity, None)
        if life is None:
            return
        if broken:
            failure = Failure(ErrorKind.BACKEND_FAILED, "back end closed the connection")
            life.deliver(AttemptFailed(attempt.attempt, failure, True))
            return
        body = echo_of(attempt.target, attempt.body)
        life.deliver(AttemptAnswered(attempt.attempt, OK_STATUS, (), body))

    def _cancel(self, life: Life, attempt: int) -> None:
        if self._running.pop((life.number, attempt), None) is None:
            return
        failure = Failure(ErrorKind.CANCELLED, "the agent cancelled the request")
        self._later(life, 0.0, AttemptFailed(attempt, failure, True))

    def _later(self, life: Life, delay: float, event: Event) -> None:
        self.environment.after(delay, lambda: life.deliver(event))
