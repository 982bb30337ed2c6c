"""Reads and answers one unary gRPC call over ASGI."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from google.protobuf.message import Message
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure, GrpcStatus
from limelever.source import grpc_wire
from limelever.source.grpc_errors import status_of
from limelever.source.validation import FieldProblem

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_HTTP_OK = 200


class Refusal(Struct, frozen=True):
    """A failure that answers a call, with the fields at fault."""

    failure: Failure
    problems: tuple[FieldProblem, ...] = ()


async def read_body(receive: Receive, limit: int) -> bytes | Failure | None:
    """Read to the end; return the body, its failure, or ``None`` when the client is gone.

    No more than ``limit`` bytes are kept; the rest is read and thrown away.
    """
    body = bytearray()
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        chunk = event.get("body", b"")
        size += len(chunk)
        if size <= limit:
            body += chunk
        else:
            body.clear()
        if not event.get("more_body", False):
            break
    if size > limit:
        reason = f"message of {size} bytes, at most {limit}"
        return Failure(ErrorKind.MESSAGE_TOO_LARGE, reason)
    return bytes(body)


async def send_answer(send: Send, answer: Message | Refusal) -> None:
    """Send a call's one message and OK, or its status with rich details."""
    headers = [(b"content-type", grpc_wire.RESPONSE_CONTENT_TYPE)]
    start = {"type": "http.response.start", "status": _HTTP_OK, "headers": headers}
    await send({**start, "trailers": True})
    if isinstance(answer, Refusal):
        status = status_of(answer.failure, answer.problems)
        trailers = grpc_wire.status_trailers(
            answer.failure.answer.grpc_status, status.message, status.SerializeToString()
        )
        body = b""
    else:
        trailers = grpc_wire.status_trailers(GrpcStatus.OK)
        body = grpc_wire.encode_message(answer)
    await send({"type": "http.response.body", "body": body})
    await send({"type": "http.response.trailers", "headers": trailers})


async def send_plain(send: Send, status: int) -> None:
    """Answer what is not a gRPC call with an HTTP status."""
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})
