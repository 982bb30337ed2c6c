"""Operators: a stream of changes, races with equal expected versions, resends until settled."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.protocol.config_pb2 import Batch
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    ApplyResponse,
    GetRequest,
    GetResponse,
)
from limelever_lab.simulator.changes import ChangeMaker
from limelever_lab.simulator.configuration_checker import ConfigurationChecker
from limelever_lab.simulator.environment import Environment

ANSWER_TIMEOUT = 2.5
RESEND_DELAY = 0.15
CHANGE_INTERVAL = 0.8
LOST_ANSWER_CHANCE = 0.03
MANY_LOST_CHANCE = 0.6
EXPECTING_CHANCE = 0.2
REPEAT_CHANCE = 0.1
"""Some answered requests are sent once more, as an impatient script does."""
SENDS_LIMIT = 400

Submit = Callable[[str, int, ApplyRequest | GetRequest], bool]
"""Hands a request with a token to a source process; false when the process is down."""


@dataclass(slots=True)
class Write:
    """One batch that an operator wants applied."""

    batch: Batch
    sends: int = 0
    verdict: str = ""


@dataclass(slots=True)
class Operators:
    """All operators of a run, and their view of the current version."""

    environment: Environment
    checker: ConfigurationChecker
    changes: ChangeMaker
    sources: tuple[str, ...]
    submit: Submit
    known_version: int = 0
    losing_answers: bool = False
    refused: int = 0
    _numbers: int = 0
    _tokens: int = 0
    _open: dict[int, Write] = field(default_factory=dict)
    _reads: dict[int, int] = field(default_factory=dict)
    unsettled: set[str] = field(default_factory=set)

    def run(self, begin: float, end: float) -> None:
        """Create the first resources at ``begin``, then change things until ``end``."""
        self.environment.at(begin, lambda: self.write(self._batch(self.changes.first())))
        self.environment.at(begin + CHANGE_INTERVAL, lambda: self._next(end))

    def _next(self, end: float) -> None:
        if self.environment.now >= end:
            return
        batch = self._batch(self.changes.draw())
        if self.environment.random.random() < EXPECTING_CHANCE:
            batch.expected_version = self.known_version
        self.write(batch)
        self.read()
        delay = CHANGE_INTERVAL * (0.5 + self.environment.random.random())
        self.environment.after(delay, lambda: self._next(end))

    def burst(self, count: int, over: float) -> None:
        """Apply ``count`` changes within ``over`` seconds."""
        for number in range(count):
            delay = over * number / count
            self.environment.after(delay, lambda: self.write(self._batch(self.changes.draw())))

    def race(self) -> None:
        """Let two operators send different changes with equal expected versions."""
        version = self.known_version
        for _ in range(2):
            batch = self._batch(self.changes.draw())
            batch.expected_version = version
            self.write(batch)

    def read(self) -> None:
        """Ask each source for everything; what was answered by now must be in the answer."""
        for name in self.sources:
            self._tokens += 1
            self._reads[self._tokens] = self.known_version
            self.submit(name, self._tokens, GetRequest())

    def write(self, batch: Batch) -> None:
        """Send a batch until its fate is known."""
        write = Write(batch)
        self.unsettled.add(batch.request_id)
        self._send(write)

    def _batch(self, batch: Batch) -> Batch:
        self._numbers += 1
        batch.request_id = f"operator-{self._numbers:06d}@{self.known_version}"
        return batch

    def _send(self, write: Write) -> None:
        if write.sends >= SENDS_LIMIT:
            return
        write.sends += 1
        self._tokens += 1
        token = self._tokens
        name = self.environment.random.choice(self.sources)
        if not self.submit(name, token, ApplyRequest(batch=write.batch)):
            self.environment.after(RESEND_DELAY, lambda: self._send(write))
            return
        self._open[token] = write
        self.environment.after(ANSWER_TIMEOUT, lambda: self._give_up(token))

    def _give_up(self, token: int) -> None:
        write = self._open.pop(token, None)
        if write is not None:
            self._send(write)

    def take(self, token: int, answer: Message | Failure) -> None:
        """Take a source's answer, unless it is lost or too late."""
        expected = self._reads.pop(token, None)
        if expected is not None:
            if isinstance(answer, GetResponse):
                self.checker.read(self.environment.now, answer, expected)
            return
        chance = MANY_LOST_CHANCE if self.losing_answers else LOST_ANSWER_CHANCE
        if self.environment.random.random() < chance:
            return
        write = self._open.pop(token, None)
        if write is None:
            return
        if isinstance(answer, ApplyResponse):
            self._accepted(write, answer)
        elif isinstance(answer, Failure) and _is_final(answer):
            self._refused(write, answer)
        else:
            delay = RESEND_DELAY * (0.5 + self.environment.random.random())
            self.environment.after(delay, lambda: self._send(write))

    def _accepted(self, write: Write, answer: ApplyResponse) -> None:
        self._settle(write, f"accepted as {answer.version}")
        self.known_version = max(self.known_version, answer.version)
        self.checker.accepted(self.environment.now, write.batch, answer.version)
        self.changes.accepted(write.batch)
        if self.environment.random.random() < REPEAT_CHANCE and write.sends < SENDS_LIMIT:
            self._send(write)

    def _refused(self, write: Write, failure: Failure) -> None:
        self._settle(write, f"refused as {failure.kind.value}")
        self.refused += 1
        self.known_version = max(self.known_version, failure.current_version)

    def _settle(self, write: Write, verdict: str) -> None:
        self.unsettled.discard(write.batch.request_id)
        if write.verdict and write.verdict != verdict:
            detail = f"{write.batch.request_id} was {write.verdict}, then {verdict}"
            self.checker.contradicted(self.environment.now, detail)
        write.verdict = write.verdict or verdict


_FINAL = frozenset(
    {
        ErrorKind.CONFLICT,
        ErrorKind.DANGLING_REFERENCE,
        ErrorKind.STILL_REFERENCED,
        ErrorKind.INVALID_REQUEST,
        ErrorKind.NOT_FOUND,
    }
)


def _is_final(failure: Failure) -> bool:
    return failure.outcome is Outcome.NOT_RUN and failure.kind in _FINAL
