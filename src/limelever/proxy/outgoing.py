"""The messages that carry a call to an agent: its start, and its body as credit allows.

The agent takes a window of body bytes on a stream at once, and gives credit as it reads on, so
that a large upload holds up neither the link's other calls nor the agent's memory.
"""

from __future__ import annotations

from limelever.protocol.calls_pb2 import CallBody, CallStart, Header
from limelever.protocol.config_pb2 import CALL_KIND_AT_MOST_ONCE, CALL_KIND_REPEATABLE
from limelever.proxy.call_state import Attempt, Call
from limelever.proxy.headers import towards_backend

FIRST_PART_BYTES = 256 * 1024
"""Bodies up to this size travel within the first message."""

PART_BYTES = 64 * 1024
"""Largest part of a longer body; other calls' messages go in between."""

CREDIT_WINDOW_BYTES = 256 * 1024
"""Bytes that may follow the first message before the agent has given any credit."""

_MILLISECONDS = 1000


def start_message(
    call: Call, attempt: Attempt, reserved: frozenset[bytes], now: float
) -> CallStart:
    """Return the first message of an attempt; ``reserved`` headers never come from the caller."""
    request, route = call.request, call.route
    passed = towards_backend(request.headers, route.secret_headers, reserved)
    whole = len(request.body) <= FIRST_PART_BYTES
    attempt.sent_bytes = min(len(request.body), FIRST_PART_BYTES)
    attempt.credit_bytes = CREDIT_WINDOW_BYTES
    return CallStart(
        stream=attempt.stream,
        attempt_id=attempt.attempt_id,
        agent_incarnation=attempt.entry.incarnation,
        service=route.service,
        group=request.group,
        call_kind=CALL_KIND_AT_MOST_ONCE if route.at_most_once else CALL_KIND_REPEATABLE,
        deadline_left_ms=max(1, int((call.deadline - now) * _MILLISECONDS)),
        method=request.method,
        target=request.target,
        headers=[Header(name=name, value=value) for name, value in passed],
        body=request.body if whole else request.body[:FIRST_PART_BYTES],
        end=whole,
    )


def next_parts(call: Call, attempt: Attempt) -> list[CallBody]:
    """Return the parts of the body that the agent's credit allows now."""
    body = call.request.body
    parts = []
    while attempt.sent_bytes < len(body) and attempt.credit_bytes > 0:
        size = min(PART_BYTES, attempt.credit_bytes)
        data = body[attempt.sent_bytes : attempt.sent_bytes + size]
        attempt.sent_bytes += len(data)
        attempt.credit_bytes -= len(data)
        end = attempt.sent_bytes == len(body)
        parts.append(CallBody(stream=attempt.stream, data=data, end=end))
    return parts
