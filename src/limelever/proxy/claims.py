"""Claims of at-most-once calls: what is claimed, and the keepers' client as the proxy uses it."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Sequence
from typing import Protocol

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.common.sansio import Output
from limelever.protocol.calls_pb2 import Header
from limelever.protocol.keeper_pb2 import RecordedAnswer
from limelever.proxy.call_state import Call, CallTable, Phase
from limelever.proxy.call_types import CallAnswer, CallRequest
from limelever.proxy.router import RouteEntry

RECORDED_BODY_LIMIT = 64 * 1024
"""Bytes of an answer's body that the keepers keep; longer bodies are not recorded."""

TOKEN_BYTES = 16
REPLAYED_HEADER = (b"x-limelever-replayed", b"true")

_DIGEST_BYTES = 32
_LENGTH_BYTES = 4


class KeeperClient(Protocol):
    """Claims, releases and completes at a majority of the keepers."""

    def claim(self, token: bytes, key: bytes, fingerprint: bytes, now: float) -> Sequence[Output]:
        """Ask for the claim on ``key``; ends in one ``ClaimSettled`` with this token."""

    def release(self, token: bytes, now: float) -> Sequence[Output]:
        """Give the claim back: the call was not run. A token not known is ignored."""

    def forget(self, token: bytes) -> None:
        """Leave the claim as it is: the outcome of the call is not known."""

    def complete(self, token: bytes, answer: RecordedAnswer, now: float) -> Sequence[Output]:
        """Record the call's answer; ends in one ``CompletionSettled`` with this token."""


class CallClaims:
    """The claims of the calls in flight that may not be repeated."""

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
        """Ask for the claim on a call's idempotency key."""
        call.phase = Phase.CLAIMING
        token = self._random.randbytes(TOKEN_BYTES)
        self._calls.set_token(call, token)
        key = claim_key(call.route, call.request)
        print_of_call = fingerprint(call.request)
        self._outputs.extend(self._keepers.claim(token, key, print_of_call, now))

    def claiming(self, token: bytes) -> Call | None:
        """Return the call that waits for the claim with this token."""
        return self._in_phase(token, Phase.CLAIMING)

    def completing(self, token: bytes) -> Call | None:
        """Return the call whose answer is being recorded under this token."""
        return self._in_phase(token, Phase.COMPLETING)

    def complete(self, call: Call, answer: CallAnswer, now: float) -> None:
        """Record a call's answer."""
        call.phase = Phase.COMPLETING
        call.answer = answer
        self._outputs.extend(self._keepers.complete(call.token, recorded(answer), now))

    def release(self, token: bytes, now: float) -> None:
        """Give a claim back: nothing was run under it."""
        self._outputs.extend(self._keepers.release(token, now))

    def failed(self, call: Call, failure: Failure, now: float) -> None:
        """End the claim of a failed call: it is given back only if no attempt may have run."""
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
    """Return the digest that tells a resend from a key used for another call."""
    return _digest(request.method, request.target, request.body)


def recorded(answer: CallAnswer) -> RecordedAnswer:
    """Return what the keepers record of an answer."""
    kept = len(answer.body) <= RECORDED_BODY_LIMIT
    return RecordedAnswer(
        status=answer.status,
        headers=[Header(name=name, value=value) for name, value in answer.headers],
        body=answer.body if kept else b"",
        body_kept=kept,
    )


def replayed(record: RecordedAnswer) -> CallAnswer | Failure:
    """Return the recorded answer for a resend, or ``ANSWER_NOT_KEPT``."""
    if not record.body_kept:
        return Failure(ErrorKind.ANSWER_NOT_KEPT, "the call ran; its answer was too long to keep")
    headers = tuple((header.name, header.value) for header in record.headers)
    return CallAnswer(record.status, (*headers, REPLAYED_HEADER), record.body)


def _digest(*parts: bytes) -> bytes:
    """Hash the parts with their lengths, so that no two different lists agree."""
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        hasher.update(part)
    return hasher.digest()
