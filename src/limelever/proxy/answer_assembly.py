"""Reassembles answers that arrive in chunks, within limits on the bytes buffered."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.call_state import Attempt


class AssemblyLimits(Struct, frozen=True):
    """Limits on the bytes of one answer, and of all incomplete answers together."""

    answer_bytes: int
    total_bytes: int


class AnswerAssembly:
    """Buffers the bodies of incomplete answers."""

    def __init__(self, limits: AssemblyLimits) -> None:
        self._limits = limits
        self._buffered_bytes = 0

    def add(self, attempt: Attempt, data: bytes) -> Failure | None:
        """Append a chunk of an answer; return a failure if it exceeds a limit."""
        size = len(attempt.body) + len(data)
        if (
            size > self._limits.answer_bytes
            or self._buffered_bytes + len(data) > self._limits.total_bytes
        ):
            reason = f"answer of at least {size} bytes exceeds the answer buffer"
            return Failure(ErrorKind.BACKEND_FAILED, reason)
        attempt.body.append(data)
        self._buffered_bytes += len(data)
        return None

    def release(self, attempt: Attempt) -> None:
        """Release the buffered bytes of an attempt that has ended."""
        self._buffered_bytes -= len(attempt.body)
