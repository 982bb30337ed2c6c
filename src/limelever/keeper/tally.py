"""Counts the keepers' answers to one claim and decides its outcome."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Address
from limelever.protocol.keeper_pb2 import ClaimAnswer, ClaimState, RecordedAnswer

RETRY_AFTER_HELD = 1.0
RETRY_AFTER_UNAVAILABLE = 1.0


class ClaimGranted(Struct, frozen=True):
    """A majority granted the claim: the call may be forwarded."""


class AnswerRecorded(Struct, frozen=True):
    """The call has run already; ``answer`` is what was recorded of it."""

    answer: RecordedAnswer


ClaimOutcome = ClaimGranted | AnswerRecorded | Failure


class ClaimTally:
    """The answers to one claim, at most one per keeper."""

    def __init__(self, quorum: int, keepers: frozenset[Address], fingerprint: bytes) -> None:
        self._quorum = quorum
        self._keepers = keepers
        self._fingerprint = fingerprint
        self._answers: dict[Address, ClaimState.ValueType] = {}
        self._foreign_key = False

    def has_answer_of(self, keeper: Address) -> bool:
        """Return whether a keeper has answered."""
        return keeper in self._answers

    def take(self, keeper: Address, answer: ClaimAnswer) -> ClaimOutcome | None:
        """Count an answer; return the outcome once it is decided.

        Only a keeper's first answer counts; later ones to the same request are ignored.
        """
        if keeper not in self._keepers or keeper in self._answers:
            return None
        self._answers[keeper] = answer.state
        same_call = answer.fingerprint == self._fingerprint
        if answer.state == ClaimState.CLAIM_STATE_COMPLETED:
            return self._completed(answer, same_call)
        if answer.state == ClaimState.CLAIM_STATE_HELD and answer.fingerprint and not same_call:
            self._foreign_key = True
        return self._decide()

    def given_up(self) -> ClaimOutcome:
        """Return the outcome of a claim without a majority."""
        if self._foreign_key:
            return _reused()
        if self._count(ClaimState.CLAIM_STATE_HELD):
            return Failure(
                ErrorKind.OUTCOME_UNKNOWN,
                "a call with this idempotency key is under way, or its outcome was lost",
                retry_after=RETRY_AFTER_HELD,
            )
        return Failure(
            ErrorKind.KEEPERS_UNAVAILABLE,
            "no majority of keepers granted the claim",
            retry_after=RETRY_AFTER_UNAVAILABLE,
        )

    def _completed(self, answer: ClaimAnswer, same_call: bool) -> ClaimOutcome:
        if not same_call:
            return _reused()
        if not answer.answer.body_kept:
            return Failure(
                ErrorKind.ANSWER_NOT_KEPT, "the call ran; its answer was too large to keep"
            )
        return AnswerRecorded(answer.answer)

    def _decide(self) -> ClaimOutcome | None:
        granted = self._count(ClaimState.CLAIM_STATE_GRANTED)
        if granted >= self._quorum:
            return ClaimGranted()
        undecided = len(self._keepers) - len(self._answers)
        if granted + undecided < self._quorum:
            return self.given_up()
        return None

    def _count(self, state: ClaimState.ValueType) -> int:
        return sum(1 for answer in self._answers.values() if answer == state)


def _reused() -> Failure:
    return Failure(
        ErrorKind.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used for another call"
    )
