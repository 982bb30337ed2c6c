"""The one closed list of error kinds, and the table from kind to answer.

Errors are values: a function that can fail returns a :class:`Failure` with its reason in
place of its result. Exceptions are left to programming faults and to libraries, and are
turned into a ``Failure`` where they are caught.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum

from msgspec import Struct


class GrpcStatus(IntEnum):
    """gRPC status codes, numbered as the published protocol does."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class Outcome(StrEnum):
    """Whether the request that an error answers was run."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RetryAdvice(StrEnum):
    """What the caller should do next."""

    NEVER = "never"
    AFTER_DELAY = "after-delay"
    SAME_REQUEST_ID = "same-request-id"
    AFTER_CHANGE = "after-change"
    ELSEWHERE = "elsewhere"


class ErrorKind(StrEnum):
    """Every kind of error that the system answers with."""

    INVALID_REQUEST = "invalid-request"
    UNKNOWN_CODING = "unknown-coding"
    INVALID_SETTINGS = "invalid-settings"
    UNAUTHENTICATED = "unauthenticated"
    PERMISSION_DENIED = "permission-denied"
    PROTOCOL_VIOLATION = "protocol-violation"
    NOT_FOUND = "not-found"
    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    CONFLICT = "conflict"
    REQUEST_EXPIRED = "request-expired"
    DANGLING_REFERENCE = "dangling-reference"
    STILL_REFERENCED = "still-referenced"
    OVERLAPPING = "overlapping"
    NOT_LEADER = "not-leader"
    NO_QUORUM = "no-quorum"
    FEATURE_UNAVAILABLE = "feature-unavailable"
    WRITE_UNKNOWN = "write-unknown"
    STALE = "stale"
    OVERLOADED = "overloaded"
    SHARE_EXHAUSTED = "share-exhausted"
    RATE_LIMITED = "rate-limited"
    NO_ENDPOINT = "no-endpoint"
    NO_CONFIGURATION = "no-configuration"
    DRAINING = "draining"
    ZONE_DRAINED = "zone-drained"
    INSTANCE_LIMITED = "instance-limited"
    WRONG_INCARNATION = "wrong-incarnation"
    CONNECTION_FAILED = "connection-failed"
    CONNECTION_LOST = "connection-lost"
    BACKEND_FAILED = "backend-failed"
    BACKEND_CRASHED = "backend-crashed"
    BACKEND_REFUSED = "backend-refused"
    QUARANTINED = "quarantined"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    CANCELLED = "cancelled"
    IDEMPOTENCY_KEY_MISSING = "idempotency-key-missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_NOT_KEPT = "answer-not-kept"
    KEEPERS_UNAVAILABLE = "keepers-unavailable"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    MESSAGE_TOO_LARGE = "message-too-large"
    DATA_FOLDER_IN_USE = "data-folder-in-use"
    DATA_DAMAGED = "data-damaged"
    DISK_FULL = "disk-full"
    DISK_FAILED = "disk-failed"
    VERSION_TOO_OLD = "version-too-old"
    INTERNAL = "internal"


class ErrorAnswer(Struct, frozen=True):
    """How a kind of error is answered at each edge."""

    http_status: int
    grpc_status: GrpcStatus
    outcome: Outcome
    advice: RetryAdvice


def _answer(
    http_status: int, grpc_status: GrpcStatus, outcome: Outcome, advice: RetryAdvice
) -> ErrorAnswer:
    return ErrorAnswer(http_status, grpc_status, outcome, advice)


_G = GrpcStatus
_O = Outcome
_R = RetryAdvice
_K = ErrorKind

ERROR_TABLE: dict[ErrorKind, ErrorAnswer] = {
    _K.INVALID_REQUEST: _answer(400, _G.INVALID_ARGUMENT, _O.NOT_RUN, _R.NEVER),
    _K.UNKNOWN_CODING: _answer(501, _G.UNIMPLEMENTED, _O.NOT_RUN, _R.NEVER),
    _K.INVALID_SETTINGS: _answer(500, _G.INVALID_ARGUMENT, _O.NOT_RUN, _R.NEVER),
    _K.UNAUTHENTICATED: _answer(401, _G.UNAUTHENTICATED, _O.NOT_RUN, _R.NEVER),
    _K.PERMISSION_DENIED: _answer(403, _G.PERMISSION_DENIED, _O.NOT_RUN, _R.NEVER),
    _K.PROTOCOL_VIOLATION: _answer(400, _G.INVALID_ARGUMENT, _O.NOT_RUN, _R.NEVER),
    _K.NOT_FOUND: _answer(404, _G.NOT_FOUND, _O.NOT_RUN, _R.AFTER_CHANGE),
    _K.NO_ROUTE: _answer(404, _G.NOT_FOUND, _O.NOT_RUN, _R.AFTER_CHANGE),
    _K.METHOD_NOT_ALLOWED: _answer(405, _G.UNIMPLEMENTED, _O.NOT_RUN, _R.NEVER),
    _K.CONFLICT: _answer(409, _G.ABORTED, _O.NOT_RUN, _R.AFTER_CHANGE),
    _K.REQUEST_EXPIRED: _answer(409, _G.ABORTED, _O.UNKNOWN, _R.AFTER_CHANGE),
    _K.DANGLING_REFERENCE: _answer(409, _G.FAILED_PRECONDITION, _O.NOT_RUN, _R.AFTER_CHANGE),
    _K.STILL_REFERENCED: _answer(409, _G.FAILED_PRECONDITION, _O.NOT_RUN, _R.AFTER_CHANGE),
    _K.OVERLAPPING: _answer(409, _G.FAILED_PRECONDITION, _O.NOT_RUN, _R.AFTER_CHANGE),
    _K.NOT_LEADER: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.ELSEWHERE),
    _K.NO_QUORUM: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.FEATURE_UNAVAILABLE: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.WRITE_UNKNOWN: _answer(504, _G.UNKNOWN, _O.UNKNOWN, _R.SAME_REQUEST_ID),
    _K.STALE: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.ELSEWHERE),
    _K.OVERLOADED: _answer(503, _G.RESOURCE_EXHAUSTED, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.SHARE_EXHAUSTED: _answer(429, _G.RESOURCE_EXHAUSTED, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.RATE_LIMITED: _answer(429, _G.RESOURCE_EXHAUSTED, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.NO_ENDPOINT: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.NO_CONFIGURATION: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.DRAINING: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.ELSEWHERE),
    _K.ZONE_DRAINED: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.INSTANCE_LIMITED: _answer(503, _G.RESOURCE_EXHAUSTED, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.WRONG_INCARNATION: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.ELSEWHERE),
    _K.CONNECTION_FAILED: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.ELSEWHERE),
    _K.CONNECTION_LOST: _answer(502, _G.UNKNOWN, _O.UNKNOWN, _R.AFTER_DELAY),
    _K.BACKEND_FAILED: _answer(502, _G.UNKNOWN, _O.UNKNOWN, _R.AFTER_DELAY),
    _K.BACKEND_CRASHED: _answer(502, _G.UNKNOWN, _O.UNKNOWN, _R.AFTER_DELAY),
    _K.QUARANTINED: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.BACKEND_REFUSED: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.DEADLINE_TOO_SHORT: _answer(503, _G.RESOURCE_EXHAUSTED, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.DEADLINE_EXCEEDED: _answer(504, _G.DEADLINE_EXCEEDED, _O.UNKNOWN, _R.AFTER_DELAY),
    _K.CANCELLED: _answer(499, _G.CANCELLED, _O.UNKNOWN, _R.NEVER),
    _K.IDEMPOTENCY_KEY_MISSING: _answer(400, _G.INVALID_ARGUMENT, _O.NOT_RUN, _R.NEVER),
    _K.IDEMPOTENCY_KEY_REUSED: _answer(422, _G.INVALID_ARGUMENT, _O.NOT_RUN, _R.NEVER),
    _K.OUTCOME_UNKNOWN: _answer(409, _G.UNKNOWN, _O.UNKNOWN, _R.SAME_REQUEST_ID),
    _K.ANSWER_NOT_KEPT: _answer(409, _G.ALREADY_EXISTS, _O.RAN, _R.NEVER),
    _K.KEEPERS_UNAVAILABLE: _answer(503, _G.UNAVAILABLE, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.BODY_TOO_LARGE: _answer(413, _G.INVALID_ARGUMENT, _O.NOT_RUN, _R.NEVER),
    _K.HEADERS_TOO_LARGE: _answer(431, _G.INVALID_ARGUMENT, _O.NOT_RUN, _R.NEVER),
    _K.MESSAGE_TOO_LARGE: _answer(413, _G.RESOURCE_EXHAUSTED, _O.NOT_RUN, _R.NEVER),
    _K.DATA_FOLDER_IN_USE: _answer(500, _G.FAILED_PRECONDITION, _O.NOT_RUN, _R.NEVER),
    _K.DATA_DAMAGED: _answer(500, _G.DATA_LOSS, _O.NOT_RUN, _R.NEVER),
    _K.DISK_FULL: _answer(507, _G.RESOURCE_EXHAUSTED, _O.NOT_RUN, _R.AFTER_DELAY),
    _K.DISK_FAILED: _answer(500, _G.INTERNAL, _O.UNKNOWN, _R.ELSEWHERE),
    _K.VERSION_TOO_OLD: _answer(409, _G.OUT_OF_RANGE, _O.NOT_RUN, _R.AFTER_CHANGE),
    _K.INTERNAL: _answer(500, _G.INTERNAL, _O.UNKNOWN, _R.NEVER),
}


class Failure(Struct, frozen=True):
    """A sentinel that stands in place of a result, with its kind and reason.

    ``resources`` names the resources the failure is about, ``retry_after`` is in seconds
    (0 = no advice), ``current_version`` is the configuration version a conflict met, and
    ``leader_address`` is where a refusing follower sends operators.
    """

    kind: ErrorKind
    reason: str
    resources: tuple[str, ...] = ()
    retry_after: float = 0.0
    current_version: int = 0
    leader_address: str = ""

    @property
    def answer(self) -> ErrorAnswer:
        """Return the table's row for this failure."""
        return ERROR_TABLE[self.kind]

    @property
    def outcome(self) -> Outcome:
        """Return whether the failed request was run."""
        return self.answer.outcome

    def __str__(self) -> str:
        """Return kind, reason and the resources concerned."""
        names = f" ({', '.join(self.resources)})" if self.resources else ""
        return f"{self.kind.value}: {self.reason}{names}"
