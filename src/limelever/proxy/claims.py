"""Idempotency claims of at-most-once calls, held at a majority of the keepers.

A call is sent only once its claim is granted; its answer is recorded for resends of the call.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Sequence
from typing import Protocol

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.common.http_messages import FINAL_STATUSES
from limelever.common.sansio import Output
from limelever.protocol.calls_pb2 import Header
from limelever.protocol.keeper_pb2 import RecordedAnswer
from limelever.proxy.call_state import Call, CallTable, Phase
from limelever.proxy.call_types import CallAnswer, CallRequest
from limelever.proxy.router import RouteEntry

RECORDED_BODY_LIMIT_BYTES = 64 * 1024
"""Longer answer bodies are not recorded by the keepers."""

TOKEN_BYTES = 16
REPLAYED_HEADER = (b"x-limelever-replayed", b"true")

_DIGEST_BYTES = 32
_LENGTH_BYTES = 4


class KeeperClient(Protocol):
    """Client that claims, releases and completes at a majority of the keepers."""

    def claim(self, token: bytes, key: bytes, fingerprint: bytes, now: float) -> Sequence[Output]:
        """Request the claim on ``key``; ends in one ``ClaimSettled`` with this token."""

    def release(self, token: bytes, now: float) -> Sequence[Output]:
        """Release the claim because the call was not run. Unknown tokens are ignored."""

    def forget(self, token: bytes) -> None:
        """Leave the claim in place because the outcome of the call is unknown."""

    def complete(self, token: bytes, answer: RecordedAnswer, now: float) -> Sequence[Output]:
        """Record the call's answer; ends in one ``CompletionSettled`` with this token."""


class CallClaims:
    """Claims of the at-most-once calls in flight."""

    def __init__(
        self,
        keepers: KeeperClient,
        calls: CallTable,
        random_source: random.Random,
        outputs: list[Output],
    ) -> None:
        self._keepers = keepers
        self._calls = calls
        self._random = random_source
        self._outputs = outputs

    def begin(self, call: Call, now: float) -> None:
        """Request the claim on a call's idempotency key."""
        call.phase = Phase.CLAIMING
        token = self._random.randbytes(TOKEN_BYTES)
        self._calls.set_token(call, token)
        key = claim_key(call.route, call.request)
        call_fingerprint = fingerprint(call.request)
        self._outputs.extend(self._keepers.claim(token, key, call_fingerprint, now))

    def waiting_for_claim(self, token: bytes) -> Call | None:
        """Return the call that waits for the claim with this token."""
        return self._in_phase(token, Phase.CLAIMING)

    def waiting_for_completion(self, token: bytes) -> Call | None:
        """Return the call whose answer is being recorded under this token."""
        return self._in_phase(token, Phase.COMPLETING)

    def complete(self, call: Call, answer: CallAnswer, now: float) -> None:
        """Record a call's answer at the keepers."""
        call.phase = Phase.COMPLETING
        call.answer = answer
        self._outputs.extend(self._keepers.complete(call.token, answer_record(answer), now))

    def release(self, token: bytes, now: float) -> None:
        """Release a claim under which nothing was run."""
        self._outputs.extend(self._keepers.release(token, now))

    def end_failed(self, call: Call, failure: Failure, now: float) -> None:
        """End the claim of a failed call: release it only if no attempt can have run."""
        if call.token and failure.outcome is Outcome.NOT_RUN:
            self.release(call.token, now)
        elif call.token:
            self._keepers.forget(call.token)

    def _in_phase(self, token: bytes, phase: Phase) -> Call | None:
        call = self._calls.by_token(token)
        return call if call is not None and call.phase is phase else None


def claim_key(route: RouteEntry, request: CallRequest) -> bytes:
    """Return the digest under which calls with the same idempotency key exclude each other."""
    return _digest(route.name.encode(), request.group.encode(), request.idempotency_key)


def fingerprint(request: CallRequest) -> bytes:
    """Return the digest that distinguishes a resend from the reuse of a key for another call."""
    return _digest(request.method, request.target, request.body)


def answer_record(answer: CallAnswer) -> RecordedAnswer:
    """Return the record of an answer that the keepers store, without a body over the limit."""
    is_kept = len(answer.body) <= RECORDED_BODY_LIMIT_BYTES
    return RecordedAnswer(
        status=answer.status,
        headers=[Header(name=name, value=value) for name, value in answer.headers],
        body=answer.body if is_kept else b"",
        body_kept=is_kept,
    )


def replayed_answer(record: RecordedAnswer) -> CallAnswer | Failure:
    """Return the recorded answer for a resend, or ``ANSWER_NOT_KEPT``."""
    if not record.body_kept:
        return Failure(
            ErrorKind.ANSWER_NOT_KEPT, "the call already ran, but its answer was too large to store"
        )
    if record.status not in FINAL_STATUSES:
        reason = f"the call already ran, but its answer was recorded with status {record.status}"
        return Failure(ErrorKind.ANSWER_NOT_KEPT, reason)
    headers = tuple((header.name, header.value) for header in record.headers)
    return CallAnswer(record.status, (*headers, REPLAYED_HEADER), record.body)


def _digest(*parts: bytes) -> bytes:
    """Hash the parts with their lengths, so that different lists have different digests."""
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        hasher.update(part)
    return hasher.digest()
