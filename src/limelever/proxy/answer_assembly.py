"""Reassembles answers that arrive in chunks, within limits on the bytes buffered.

The agent states the size of an answer with its first message, and sends no more than a window of it
without credit. Credit is given once the budget of the process has room for the whole answer.
"""

from __future__ import annotations

import math

from msgspec import Struct

from limelever.common.byte_budget import POLL_SECONDS, SMALL_BYTES, ByteBudget, Use
from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.call_state import Attempt


class AssemblyLimits(Struct, frozen=True):
    """Limits on the bytes of one answer, and of all incomplete answers together."""

    answer_bytes: int
    total_bytes: int


class AnswerAssembly:
    """Buffers the bodies of incomplete answers."""

    def __init__(self, limits: AssemblyLimits, budget: ByteBudget | None = None) -> None:
        self._limits = limits
        self._budget = budget or ByteBudget()
        self._buffered_bytes = 0
        self._waiting: dict[int, Attempt] = {}
        self._polled_at = -math.inf

    def begin(self, attempt: Attempt, size: int) -> Failure | None:
        """Reserve ``size`` bytes for an answer, now or later; 0 if the size is not known."""
        if size > self._limits.answer_bytes or not self._budget.can_ever_take(size):
            return _too_large(size)
        attempt.answer_bytes = size
        overtakes = bool(self._waiting) and size > SMALL_BYTES
        if overtakes or not self._hold(attempt, size):
            self._budget.waits[Use.ANSWER] += 1
            self._waiting[id(attempt)] = attempt
        return None

    def add(self, attempt: Attempt, data: bytes) -> Failure | None:
        """Append a chunk of an answer; return a failure if it exceeds a limit."""
        size = len(attempt.body) + len(data)
        if (
            size > self._limits.answer_bytes
            or self._buffered_bytes + len(data) > self._limits.total_bytes
            or not self._make_room(attempt, size)
        ):
            return _too_large(size)
        attempt.body.append(data)
        self._buffered_bytes += len(data)
        return None

    def release(self, attempt: Attempt) -> None:
        """Release the buffered bytes of an attempt that has ended."""
        self._waiting.pop(id(attempt), None)
        self._buffered_bytes -= len(attempt.body)
        self._budget.release(Use.ANSWER, attempt.held_bytes)
        attempt.held_bytes = 0

    def may_continue(self, attempt: Attempt) -> bool:
        """Return whether the agent may send more of an answer."""
        return id(attempt) not in self._waiting

    def take_startable(self, now: float) -> list[Attempt]:
        """Return the attempts whose answer had to wait and is reserved now."""
        self._polled_at = now
        startable = []
        for key, attempt in tuple(self._waiting.items()):
            if not self._hold(attempt, attempt.answer_bytes):
                break
            del self._waiting[key]
            startable.append(attempt)
        return startable

    def next_deadline(self) -> float | None:
        """Return when waiting answers are to be tried again (seconds, monotonic)."""
        return self._polled_at + POLL_SECONDS if self._waiting else None

    def _make_room(self, attempt: Attempt, size: int) -> bool:
        """Hold received bytes; those of a waiting answer are within its first window."""
        if size <= attempt.held_bytes:
            return True
        if self.may_continue(attempt):
            return self._hold(attempt, size)
        self._budget.charge(Use.ANSWER, size - attempt.held_bytes)
        attempt.held_bytes = size
        return True

    def _hold(self, attempt: Attempt, size: int) -> bool:
        added = max(0, size - attempt.held_bytes)
        if not self._budget.take(Use.ANSWER, added, attempt.held_bytes):
            return False
        attempt.held_bytes += added
        return True


def _too_large(size: int) -> Failure:
    reason = f"answer of at least {size} bytes exceeds the answer buffer"
    return Failure(ErrorKind.BACKEND_FAILED, reason)
