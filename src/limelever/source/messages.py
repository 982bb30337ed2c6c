"""What the operators' service and the source's core tell each other."""

from __future__ import annotations

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


class OperatorRequest(Event, frozen=True):
    """A checked request of an operator, its secrets sealed; ``token`` names it in the answer."""

    token: int
    request: OperatorMessage


class OperatorAnswer(Output, frozen=True):
    """The answer to the request ``token``; each request gets one."""

    token: int
    answer: Message | Failure


class MembersKnown(Output, frozen=True):
    """The names of the group's members, learners included, as this replica knows them now."""

    names: frozenset[str]


class SeedsListed(Event, frozen=True):
    """The settings name these seeds now, by their addresses."""

    seeds: tuple[Address, ...]


class StopRequested(Event, frozen=True):
    """A planned stop began: subscribers go to another replica, and so does leadership."""
