"""Puts long answers together within bounds, and gives agents credit for what has arrived."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.call_state import Attempt


class AssemblyLimits(Struct, frozen=True):
    """Bounds in bytes: of one answer, and of all answers not yet whole."""

    one: int
    all: int


class AnswerAssembly:
    """The bytes of answers that are not yet whole."""

    def __init__(self, limits: AssemblyLimits) -> None:
        self._limits = limits
        self._bytes = 0

    def add(self, attempt: Attempt, data: bytes) -> Failure | None:
        """Take a part of an answer; return why it finds no room."""
        size = len(attempt.body) + len(data)
        if size > self._limits.one or self._bytes + len(data) > self._limits.all:
            reason = f"answer of over {size} bytes finds no room"
            return Failure(ErrorKind.BACKEND_FAILED, reason)
        attempt.body += data
        self._bytes += len(data)
        return None

    def release(self, attempt: Attempt) -> None:
        """Count an attempt's bytes no longer: it has ended."""
        self._bytes -= len(attempt.body)
