"""Specification of racing and resent operator writes against one resource.

Two operators create the same resource, each expecting it absent, and a third deletes it. A write
is proposed, committed and then applied in log order; a failover drops what is not committed.
Answers are lost and operators resend the same request. Each request names the configuration version
it was based on, so that a replica can tell a request older than its bounded request record.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from limelever_lab.model.specification import Model, Specification, Step, Variant, replace_at

ABSENT = 0
SENDS_PER_REQUEST = 4
LOG_IN_FLIGHT = 3
RECORD_BOUND = 1


class Fault(enum.Enum):
    """Mechanisms that a broken variant switches off."""

    NO_REQUEST_RECORD = "no-request-record"
    CHECKED_AT_PROPOSAL = "checked-at-proposal"
    NO_RECORD_HORIZON = "no-record-horizon"


class Kind(enum.IntEnum):
    """What a request asks for."""

    CREATE = 0
    DELETE = 1


class Answer(enum.IntEnum):
    """What an operator has been told; UNKNOWN covers every lost answer."""

    UNKNOWN = 0
    APPLIED = 1
    CONFLICT = 2
    PAST_RECORD = 3


class Request(NamedTuple):
    """A write of one operator; the same request is resent unchanged."""

    identity: int
    kind: Kind
    expected_version: int
    based_on: int


class Operator(NamedTuple):
    """One operator's request once sent, what it was told, and how often it may still send."""

    request: Request | None
    answer: Answer
    sends_left: int


class Recorded(NamedTuple):
    """An applied request in the replicated request record."""

    request_identity: int
    based_on: int


class Store(NamedTuple):
    """Replicated state, uncommitted log, operators, and how often each request was applied."""

    resource_version: int
    configuration_version: int
    record: tuple[Recorded, ...]
    record_horizon: int
    log: tuple[Request, ...]
    operators: tuple[Operator, ...]
    applied: tuple[int, ...]


KINDS = (Kind.CREATE, Kind.CREATE, Kind.DELETE)


def build(variant: str | None) -> Specification[Store]:
    """Return the specification for a variant, or the true protocol for None."""
    rules = Rules(None if variant is None else Fault(variant))
    operators = (Operator(None, Answer.UNKNOWN, SENDS_PER_REQUEST),) * len(KINDS)
    return Specification(
        name="operator-writes",
        initial=Store(ABSENT, 0, (), 0, (), operators, (0,) * len(KINDS)),
        steps=rules.steps,
        invariants={
            "a request is applied at most once": applied_at_most_once,
            "answers are true": answers_are_true,
            "one winner a version": one_winner,
        },
        witnesses={
            "loser of a race is told": loser_told,
            "resend after its record was dropped": resend_past_record,
            "all three applied": lambda store: store.applied == (1, 1, 1),
        },
    )


def applied_at_most_once(store: Store) -> bool:
    """No request, however often it is sent, changes the state twice."""
    return max(store.applied) <= 1


def answers_are_true(store: Store) -> bool:
    """APPLIED means applied; CONFLICT means never applied."""
    return all(
        not (operator.answer is Answer.APPLIED and times == 0)
        and not (operator.answer is Answer.CONFLICT and times > 0)
        for operator, times in zip(store.operators, store.applied, strict=True)
    )


def one_winner(store: Store) -> bool:
    """Of two creations based on the same state at most one has won before a deletion."""
    return store.applied[0] + store.applied[1] <= 1 + store.applied[2]


def loser_told(store: Store) -> bool:
    """Whether one creation won and the other operator was told of the conflict."""
    answers = [operator.answer for operator in store.operators[:2]]
    return sorted(answers) == [Answer.APPLIED, Answer.CONFLICT]


def resend_past_record(store: Store) -> bool:
    """Whether an applied request, resent after its record was dropped, was refused."""
    return any(
        operator.answer is Answer.PAST_RECORD and times == 1
        for operator, times in zip(store.operators, store.applied, strict=True)
    )


class Rules:
    """The actions of operators, leader and replicated state."""

    def __init__(self, fault: Fault | None) -> None:
        self._fault = fault

    def steps(self, store: Store) -> Iterator[Step[Store]]:
        """Yield every enabled action."""
        for index in range(len(store.operators)):
            yield from self._send(store, index)
        if store.log:
            yield from self._apply(store)
            for kept in range(len(store.log)):
                yield Step(f"failover(keeps {kept})", store._replace(log=store.log[:kept]))

    def _send(self, store: Store, index: int) -> Iterator[Step[Store]]:
        """An operator without an answer sends its request, or sends it again."""
        operator = store.operators[index]
        waiting = operator.answer is Answer.UNKNOWN and operator.sends_left > 0
        if not waiting or len(store.log) >= LOG_IN_FLIGHT:
            return
        request = operator.request or first_request(store, index)
        if request is None:
            return
        sent = operator._replace(request=request, sends_left=operator.sends_left - 1)
        after = with_operator(store, index, sent)
        if self._fault is Fault.CHECKED_AT_PROPOSAL and not matches(store, request):
            return
        yield Step(f"propose({index})", after._replace(log=(*store.log, request)))
        yield Step(f"lose request({index})", after)

    def _apply(self, store: Store) -> Iterator[Step[Store]]:
        """Apply the first entry of the log; its answer arrives or is lost."""
        request = store.log[0]
        after, answer = self._decide(store._replace(log=store.log[1:]), request)
        yield Step(f"apply({request.identity}, answer lost)", after)
        operator = after.operators[request.identity]
        told = operator._replace(answer=answer)
        yield Step(
            f"apply({request.identity}, {answer.name})",
            with_operator(after, request.identity, told),
        )

    def _decide(self, store: Store, request: Request) -> tuple[Store, Answer]:
        """Return the state and answer after a committed request."""
        if self._fault is not Fault.NO_REQUEST_RECORD:
            if any(entry.request_identity == request.identity for entry in store.record):
                return store, Answer.APPLIED
            horizon = 0 if self._fault is Fault.NO_RECORD_HORIZON else store.record_horizon
            if horizon and request.based_on <= horizon:
                return store, Answer.PAST_RECORD
        if self._fault is not Fault.CHECKED_AT_PROPOSAL and not matches(store, request):
            return store, Answer.CONFLICT
        return run(store, request), Answer.APPLIED


def first_request(store: Store, index: int) -> Request | None:
    """Return the request an operator makes from what it sees, or None while it has no reason."""
    kind = KINDS[index]
    wanted = store.resource_version == ABSENT if kind is Kind.CREATE else store.resource_version
    if not wanted:
        return None
    return Request(index, kind, store.resource_version, store.configuration_version)


def matches(store: Store, request: Request) -> bool:
    """Whether the resource is at the version the request expects."""
    return store.resource_version == request.expected_version


def run(store: Store, request: Request) -> Store:
    """Return the state after a request has changed it and entered the bounded record."""
    version = store.configuration_version + 1
    record = (*store.record, Recorded(request.identity, request.based_on))
    dropped = [max(entry.based_on, 1) for entry in record[:-RECORD_BOUND]]
    times = store.applied[request.identity] + 1
    return store._replace(
        resource_version=version if request.kind is Kind.CREATE else ABSENT,
        configuration_version=version,
        record=record[-RECORD_BOUND:],
        record_horizon=max(store.record_horizon, *dropped, 0),
        applied=replace_at(store.applied, request.identity, times),
    )


def with_operator(store: Store, index: int, operator: Operator) -> Store:
    """Return the store with one operator replaced."""
    return store._replace(operators=replace_at(store.operators, index, operator))


MODEL = Model(
    name="operator-writes",
    bounds=(
        f"3 requests, {SENDS_PER_REQUEST} sends each, {LOG_IN_FLIGHT} entries in flight, "
        f"request record of {RECORD_BOUND}"
    ),
    build=build,
    variants=(
        Variant(Fault.NO_REQUEST_RECORD.value, "applied requests are not recorded"),
        Variant(Fault.CHECKED_AT_PROPOSAL.value, "the expected version is checked when proposed"),
        Variant(Fault.NO_RECORD_HORIZON.value, "a request older than the record is taken as new"),
    ),
)
