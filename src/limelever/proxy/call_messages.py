"""Builds the messages that send a call to an agent: its start, then its body as credit allows.

A short body is sent inline with the first message. A longer one is sent in chunks under flow
control by the agent, so that it does not block other calls on the link, and a refused call costs
only its headers.
"""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.message import Message

from limelever.common.http_headers import Headers
from limelever.protocol.calls_pb2 import CallBody, CallStart
from limelever.protocol.priorities import priority_group
from limelever.proxy.call_state import Attempt, Call
from limelever.proxy.request_headers import backend_headers

INLINE_BODY_BYTES = 8 * 1024
"""Largest body sent inline with the first message, saving the round trip for credit."""

BODY_CHUNK_BYTES = 64 * 1024
"""Largest chunk of a body; messages of other calls are interleaved between chunks."""

_MILLISECONDS = 1000


def build_call_start(
    call: Call,
    attempt: Attempt,
    reserved: frozenset[bytes],
    added: Headers,
    now: float,
) -> CallStart:
    """Return the first message of an attempt.

    Headers of the caller under ``reserved`` names are dropped; ``added`` headers are always set.
    """
    request, route = call.request, call.route
    headers = backend_headers(request.headers, (*route.secret_headers, *added), reserved)
    size = len(request.body)
    inline = size <= INLINE_BODY_BYTES
    attempt.sent_bytes = size if inline else 0
    message = CallStart(
        stream=attempt.stream,
        attempt_id=attempt.attempt_id,
        agent_incarnation=attempt.entry.incarnation,
        service=call.destination.service,
        group=queue_group(call),
        call_kind=route.call_kind,
        deadline_left_ms=max(1, int((call.deadline - now) * _MILLISECONDS)),
        target_left_ms=target_left_ms(call, now),
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        body=request.body if inline else b"",
        end=inline,
        awaits_credit=not inline,
        body_bytes=0 if inline else size,
        known_depth=attempt.known_depth,
        tenant=call.tenant,
    )
    for name, value in headers:
        message.headers.add(name=name, value=value)
    return message


def target_left_ms(call: Call, now: float) -> int:
    """Return the milliseconds left to the latency target, 0 if the route has none."""
    if not call.route.target_latency:
        return 0
    return max(1, int((call.target_at - now) * _MILLISECONDS))


def queue_group(call: Call) -> str:
    """Return the group the agent queues the call in: that of its rank and route, if ranked."""
    return priority_group(call.rank, call.route.name) if call.rank else call.request.group


def next_body_chunks(call: Call, attempt: Attempt) -> list[CallBody]:
    """Return the next chunks of the body that the agent's credit allows."""
    body = call.request.body
    chunks = []
    while attempt.sent_bytes < len(body) and attempt.credit_bytes > 0:
        size = min(BODY_CHUNK_BYTES, attempt.credit_bytes)
        data = body[attempt.sent_bytes : attempt.sent_bytes + size]
        attempt.sent_bytes += len(data)
        attempt.credit_bytes -= len(data)
        end = attempt.sent_bytes == len(body)
        chunks.append(CallBody(stream=attempt.stream, data=data, end=end))
    return chunks


def streams_without_end(unsent: Iterable[Message]) -> frozenset[int]:
    """Return the streams of calls of which the last message is among those never sent."""
    return frozenset(
        message.stream
        for message in unsent
        if isinstance(message, CallStart | CallBody) and message.end
    )
