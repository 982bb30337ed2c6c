"""What the operators' service and the source's core tell each other."""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf.message import Message

from limelever.common.errors import Failure
from limelever.common.sansio import Address, Event, Output
from limelever.protocol.operators_pb2 import (
    ApplyRequest,
    ChangeMembersRequest,
    GetRequest,
    GetRevisionRequest,
    RolloutRequest,
    StatusRequest,
)

OperatorMessage = (
    ApplyRequest
    | GetRequest
    | GetRevisionRequest
    | RolloutRequest
    | StatusRequest
    | ChangeMembersRequest
)


@dataclass(frozen=True, slots=True)
class OperatorRequest(Event):
    """A checked request of an operator, its secrets sealed; ``token`` names it in the answer."""

    token: int
    request: OperatorMessage


@dataclass(frozen=True, slots=True)
class OperatorAnswer(Output):
    """The answer to the request ``token``; each request gets one."""

    token: int
    answer: Message | Failure


@dataclass(frozen=True, slots=True)
class MembersKnown(Output):
    """The names of the group's members, learners included, as this replica knows them now."""

    names: frozenset[str]


@dataclass(frozen=True, slots=True)
class SeedsListed(Event):
    """The settings name these seeds now, by their addresses."""

    seeds: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """A planned stop began: subscribers go to another replica, and so does leadership."""
