"""Client of the operators' RPCs: finds the leader, and resends what is safe to resend.

Every write carries a request id, under which the source runs it at most once, so a write whose
fate is unknown is sent again under the same id until it is settled or time is up.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence
from typing import Any, TypeVar

import grpc
from google.protobuf.message import Message
from grpc_status import rpc_status
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure, Outcome, RetryAdvice
from limelever.common.sansio import Address
from limelever.common.settings import parse_address
from limelever.protocol.keys import key_text
from limelever.protocol.operators_pb2 import (
    DESCRIPTOR,
    ErrorDetail,
    StatusRequest,
    StatusResponse,
)

ResponseT = TypeVar("ResponseT", bound=Message)

CONNECT_SECONDS = 2.0
ATTEMPT_SECONDS = 5.0
PAUSE_SECONDS = 0.2
_MAX_METADATA_BYTES = 64 * 1024
_MILLISECONDS = 1000.0
_SETTLED_BY = {
    "Apply": frozenset(
        {
            ErrorKind.CONFLICT,
            ErrorKind.NOT_FOUND,
            ErrorKind.DANGLING_REFERENCE,
            ErrorKind.STILL_REFERENCED,
            ErrorKind.OVERLAPPING,
        }
    )
}
"""Refusals that settle a write whatever became of the sendings before, by method.

The state machine gives every sending of a batch the same answer. Of the changes of members only
the last is remembered, so there no refusal settles a sending that was not answered.
"""
_SERVICE_NAME = DESCRIPTOR.services_by_name["Operator"].full_name


class ClientOptions(Struct, frozen=True):
    """How to reach the source; ``timeout`` is in seconds."""

    endpoints: tuple[Address, ...]
    token: str
    timeout: float
    authority: bytes | None = None


class OperatorClient:
    """Calls one of the source's replicas after another until one answers."""

    def __init__(self, options: ClientOptions) -> None:
        self._options = options
        self._channels: dict[Address, grpc.Channel] = {}

    def close(self) -> None:
        """Close all connections; a second time does nothing."""
        while self._channels:
            _, channel = self._channels.popitem()
            channel.close()

    def call(
        self,
        method: str,
        request: Message,
        response: type[ResponseT],
        *,
        is_write: bool = False,
    ) -> ResponseT | Failure:
        """Call ``method`` within the timeout and return its answer or the last failure.

        When some sending of a write may have run, the answer is ``WRITE_UNKNOWN`` whatever a
        later sending met, unless that is a refusal that settles it: one at the door (a credential
        withdrawn meanwhile, say) tells nothing about the sending before.
        """
        deadline = time.monotonic() + self._options.timeout
        turns = _Turns(self._options.endpoints)
        failure = Failure(ErrorKind.CONNECTION_FAILED, "no endpoint was tried")
        unknown = False
        while (left := deadline - time.monotonic()) > 0:
            answer = self._attempt(turns.current, method, request, response, left)
            if not isinstance(answer, Failure):
                return answer
            failure = answer
            unknown = unknown or (is_write and failure.outcome is Outcome.UNKNOWN)
            if not _is_retried(failure, is_write):
                break
            pause = 0.0 if turns.advance(failure) else max(PAUSE_SECONDS, failure.retry_after)
            time.sleep(max(0.0, min(pause, deadline - time.monotonic())))
        settled = failure.kind in _SETTLED_BY.get(method, ())
        if unknown and not settled and failure.outcome is not Outcome.UNKNOWN:
            reason = f"some sending was not answered, and the last one met {failure}"
            return Failure(ErrorKind.WRITE_UNKNOWN, reason)
        return failure

    def ask_leader(self, status: StatusResponse) -> StatusResponse | Failure:
        """Return the status of the leader that ``status`` names, or ``status`` without one."""
        leader = leader_address(status.leader_operator_address)
        if leader is None:
            return status
        limit = self._options.timeout
        return self._attempt(leader, "Status", StatusRequest(), StatusResponse, limit)

    def _attempt(
        self,
        endpoint: Address,
        method: str,
        request: Message,
        response: type[ResponseT],
        left: float,
    ) -> ResponseT | Failure:
        channel = self._channel(endpoint, min(left, CONNECT_SECONDS))
        if isinstance(channel, Failure):
            return channel
        call: Any = channel.unary_unary(
            f"/{_SERVICE_NAME}/{method}",
            request_serializer=type(request).SerializeToString,
            response_deserializer=response.FromString,
        )
        metadata = (("authorization", f"Bearer {self._options.token}"),)
        try:
            answer: ResponseT = call(request, metadata=metadata, timeout=min(left, ATTEMPT_SECONDS))
        except grpc.RpcError as error:
            failure = failure_of(error, endpoint)
            if failure.kind is ErrorKind.CONNECTION_LOST:
                self._channels.pop(endpoint).close()
            return failure
        return answer

    def _channel(self, endpoint: Address, limit: float) -> grpc.Channel | Failure:
        """Return a channel; an endpoint that nobody listens at was surely not given the call.

        grpcio answers ``UNAVAILABLE`` for that and for a connection lost after the call was
        sent, so a plain connection is tried first to tell the two apart.
        """
        channel = self._channels.get(endpoint)
        if channel is None:
            try:
                reached = (endpoint.host, endpoint.port)
                socket.create_connection(reached, timeout=limit).close()
            except OSError as error:
                return Failure(ErrorKind.CONNECTION_FAILED, f"{endpoint}: {error}")
            channel = self._open(endpoint)
            self._channels[endpoint] = channel
        return channel

    def _open(self, endpoint: Address) -> grpc.Channel:
        options = [
            ("grpc.max_metadata_size", _MAX_METADATA_BYTES),
            ("grpc.enable_http_proxy", 0),
        ]
        if self._options.authority is None:
            return grpc.insecure_channel(str(endpoint), options)
        credentials = grpc.ssl_channel_credentials(self._options.authority)
        return grpc.secure_channel(str(endpoint), credentials, options)


def leader_address(text: str) -> Address | None:
    """Return the address that a replica gave of its leader; ``None`` when it gave none."""
    try:
        return parse_address(text)
    except ValueError:
        return None


class _Turns:
    """Whose turn it is: the leader that a refusal named, else the next endpoint."""

    def __init__(self, endpoints: Sequence[Address]) -> None:
        self._endpoints = endpoints
        self._index = 0
        self._named_leaders: set[Address] = set()
        self.current = endpoints[0]

    def advance(self, failure: Failure) -> bool:
        """Choose the endpoint to try after ``failure``; return whether to try it at once.

        Replicas that name each other as leader must not be asked in a tight loop, so only the
        first naming of a leader is followed at once. The leader alone knows the level of its
        group: while that is too low, it is asked again, as a member of an earlier build may
        refuse the request as malformed.
        """
        if failure.kind is ErrorKind.FEATURE_UNAVAILABLE:
            return False
        leader = leader_address(failure.leader_address)
        if leader is not None and leader != self.current:
            first = leader not in self._named_leaders
            self._named_leaders.add(leader)
            self.current = leader
            return first
        self._index = (self._index + 1) % len(self._endpoints)
        self.current = self._endpoints[self._index]
        return False


def _is_retried(failure: Failure, is_write: bool) -> bool:
    advice = failure.answer.advice
    if failure.kind is ErrorKind.REQUEST_EXPIRED:
        return False
    if advice in (RetryAdvice.ELSEWHERE, RetryAdvice.AFTER_DELAY):
        return True
    return is_write and failure.outcome is Outcome.UNKNOWN


def failure_of(error: grpc.RpcError, endpoint: Address) -> Failure:
    """Return the failure that a refused or broken call carries."""
    call: Any = error
    status = rpc_status.from_call(call)
    for packed in status.details if status is not None else ():
        detail = ErrorDetail()
        if packed.Unpack(detail):
            return _from_detail(detail)
    kind = (
        ErrorKind.DEADLINE_EXCEEDED
        if call.code() is grpc.StatusCode.DEADLINE_EXCEEDED
        else ErrorKind.CONNECTION_LOST
    )
    return Failure(kind, f"{endpoint}: {call.code().name}: {call.details()}")


def _from_detail(detail: ErrorDetail) -> Failure:
    try:
        kind = ErrorKind(detail.kind)
    except ValueError:
        return Failure(ErrorKind.INTERNAL, f"unknown error kind {detail.kind}: {detail.reason}")
    return Failure(
        kind,
        detail.reason,
        tuple(key_text(key) for key in detail.resources),
        retry_after=detail.retry_after_ms / _MILLISECONDS,
        current_version=detail.current_version,
        leader_address=detail.leader_operator_address,
    )
