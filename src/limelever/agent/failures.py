"""Failures of calls that end without a response from the back end."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure

DRAINING = Failure(ErrorKind.DRAINING, "the instance is draining")
STOPS_BEFORE_DEADLINE = Failure(
    ErrorKind.DRAINING, "the agent stops before the deadline of the call"
)
ZONE_DRAINED = Failure(
    ErrorKind.ZONE_DRAINED, "the zone of the instance is drained", retry_after=1.0
)
DRAIN_LIMIT_REACHED = Failure(ErrorKind.BACKEND_FAILED, "cancelled at the drain limit")
CANCELLED = Failure(ErrorKind.CANCELLED, "cancelled while it ran")
CANCELLED_BEFORE_START = Failure(ErrorKind.DEADLINE_TOO_SHORT, "cancelled before it was started")
BACKEND_CRASHED = Failure(ErrorKind.BACKEND_CRASHED, "the back end process exited")
BACKEND_UNRESPONSIVE = Failure(ErrorKind.CONNECTION_FAILED, "the back end does not answer")
BECAME_UNRESPONSIVE = Failure(
    ErrorKind.BACKEND_FAILED, "the back end stopped responding while the call ran"
)
NO_RESPONSE_ON_CONNECTION = Failure(
    ErrorKind.CONNECTION_LOST, "the back end no longer responds on the connection of the call"
)
LIMIT_EXCEEDED = Failure(
    ErrorKind.INSTANCE_LIMITED, "cannot be started in time within the limit of the instance"
)
BUFFERS_FULL = Failure(
    ErrorKind.OVERLOADED, "the agent has no room for the request body", retry_after=0.5
)
CANNOT_MEET_DEADLINE = Failure(ErrorKind.DEADLINE_TOO_SHORT, "cannot finish in time")


class Cancellation(Struct, frozen=True):
    """What to report of a cancelled attempt once it has ended.

    ``if_sent`` applies if the back end may have received any byte of the request, ``if_unsent`` if
    the attempt was still waiting for a connection.
    """

    if_sent: Failure
    if_unsent: Failure


BY_PROXY = Cancellation(CANCELLED, CANCELLED_BEFORE_START)
BY_UNRESPONSIVENESS = Cancellation(BECAME_UNRESPONSIVE, BACKEND_UNRESPONSIVE)
BY_LOST_CONNECTION = Cancellation(NO_RESPONSE_ON_CONNECTION, CANCELLED_BEFORE_START)
