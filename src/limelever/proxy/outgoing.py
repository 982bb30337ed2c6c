"""The messages that carry a call to an agent: its start, and its body as credit allows.

A short body travels with the call's first message. A longer one is sent as its agent asks for it,
in its turn: it holds up no other call on the agent's link, and a refused call costs its head alone.
"""

from __future__ import annotations

from limelever.common.http_headers import Headers
from limelever.protocol.calls_pb2 import CallBody, CallStart, Header
from limelever.protocol.priorities import priority_group
from limelever.proxy.call_state import Attempt, Call
from limelever.proxy.headers import towards_backend

UNASKED_BYTES = 8 * 1024
"""Bodies up to this size travel within the first message; a choice: to ask for one costs a round
trip and two messages, a short one holds the link for a few milliseconds."""

PART_BYTES = 64 * 1024
"""Largest part of a longer body; other calls' messages go in between."""

_MILLISECONDS = 1000


def start_message(
    call: Call,
    attempt: Attempt,
    reserved: frozenset[bytes],
    added: Headers,
    now: float,
) -> CallStart:
    """Return the first message of an attempt; ``reserved`` headers never come from the caller, and
    ``added`` ones are set here whatever it sent.
    """
    request, route = call.request, call.route
    passed = towards_backend(request.headers, (*route.secret_headers, *added), reserved)
    size = len(request.body)
    whole = size <= UNASKED_BYTES
    attempt.sent_bytes = size if whole else 0
    return CallStart(
        stream=attempt.stream,
        attempt_id=attempt.attempt_id,
        agent_incarnation=attempt.entry.incarnation,
        service=call.part.service,
        group=group_of(call),
        call_kind=route.call_kind,
        deadline_left_ms=max(1, int((call.deadline - now) * _MILLISECONDS)),
        target_left_ms=target_left_ms(call, now),
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        headers=[Header(name=name, value=value) for name, value in passed],
        body=request.body if whole else b"",
        end=whole,
        awaits_credit=not whole,
        body_bytes=0 if whole else size,
        known_depth=attempt.known_depth,
        tenant=call.tenant,
    )


def target_left_ms(call: Call, now: float) -> int:
    """Return the milliseconds until an answer is worth less; 0 where the route names no target."""
    if not call.route.target_latency:
        return 0
    return max(1, int((call.target - now) * _MILLISECONDS))


def group_of(call: Call) -> str:
    """Return the group under which the agent queues a call: its route's where it is ranked."""
    return priority_group(call.rank, call.route.name) if call.rank else call.request.group


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
