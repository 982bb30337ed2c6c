"""Operators' RPCs as an ASGI application: the gRPC protocol, credentials, checks, answers.

An unknown credential is refused before the message is even kept. A batch is checked for shape
and its secrets are sealed here, so the replicated log never holds an open secret or a malformed
resource. The request body is always read to its end before the answer: HTTP/2 clients may go on
sending, and an answer in between would cut them off without a status.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Container, Sequence

import trio
from google.protobuf.message import Message
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.protocol.operators_pb2 import ApplyRequest, GetResponse
from limelever.protocol.redaction import redacted
from limelever.source import grpc_wire
from limelever.source.at_rest import SecretSealer
from limelever.source.grpc_asgi import (
    Receive,
    Refusal,
    Scope,
    Send,
    read_body,
    send_answer,
    send_plain,
)
from limelever.source.grpc_errors import shortened
from limelever.source.operator_door import (
    OperatorToken,
    RequestChecks,
    authenticate,
    is_write,
)
from limelever.source.operator_events import (
    OPERATOR_CALL_FAILED,
    OPERATOR_REFUSED,
    OPERATOR_WRITE,
)
from limelever.source.operator_listener import serve_operators
from limelever.source.region_checks import ANY_REGION
from limelever.source.validation import MAX_BATCH_BYTES
from limelever.transport.log import write_event

__all__ = ["Ask", "OperatorToken", "operator_application", "serve_operators"]

Ask = Callable[[Message], Awaitable[Message | Failure]]

MAX_CALL_SECONDS = 60.0
MAX_BODY_BYTES = MAX_BATCH_BYTES + 4096
MAX_CALLS_IN_FLIGHT = 64
OVERLOAD_RETRY_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 0.1
ANSWER_MARGIN_PART = 0.2
_HTTP_UNSUPPORTED_MEDIA_TYPE = 415


class _Call(Struct, frozen=True):
    method: str
    client: str
    headers: dict[bytes, bytes]


def operator_application(
    ask: Ask,
    tokens: Sequence[OperatorToken],
    *,
    sealer: SecretSealer,
    zones: Container[str] = (),
    regions: frozenset[str] = ANY_REGION,
) -> Callable[[Scope, Receive, Send], Awaitable[None]]:
    """Return the ASGI application that answers operators' calls.

    ``ask`` gives a checked request to the source's core and returns its answer; ``tokens`` are
    the credentials accepted; ``sealer`` seals secret values before they reach ``ask``; ``zones``
    are those that may be drained, any if it is empty; ``regions`` are those of the zones in the
    settings.
    """
    return _Application(ask, tokens, RequestChecks(sealer, zones, regions)).handle


class _Application:
    def __init__(self, ask: Ask, tokens: Sequence[OperatorToken], checks: RequestChecks) -> None:
        self._ask = ask
        self._tokens = tuple(tokens)
        self._checks = checks
        self._in_flight = 0

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        if scope["method"] != "POST" or not headers.get(b"content-type", b"").startswith(
            grpc_wire.CONTENT_TYPE
        ):
            await read_body(receive, 0)
            await send_plain(send, _HTTP_UNSUPPORTED_MEDIA_TYPE)
            return
        host, port = scope.get("client") or ("unknown", 0)
        call = _Call(scope["path"], f"{host}:{port}", headers)
        answer = await self._answer(call, receive)
        if answer is not None:
            await send_answer(send, answer)

    async def _answer(self, call: _Call, receive: Receive) -> Message | Refusal | None:
        """Return the answer, or ``None`` when the client is gone."""
        operator = self._admit(call)
        if isinstance(operator, Failure):
            body = await read_body(receive, 0)
            return None if body is None else _refused(call, Refusal(operator))
        self._in_flight += 1
        try:
            return await self._answer_admitted(call, operator, receive)
        finally:
            self._in_flight -= 1

    async def _answer_admitted(
        self, call: _Call, operator: OperatorToken, receive: Receive
    ) -> Message | Refusal | None:
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return None
        request = self._checks.request(call.method, call.headers, body, operator)
        if isinstance(request, Refusal):
            return _refused(call, request)
        return await self._run(call, operator, request, receive)

    def _admit(self, call: _Call) -> OperatorToken | Failure:
        operator = authenticate(call.headers, self._tokens)
        if isinstance(operator, Failure):
            return operator
        if self._in_flight >= MAX_CALLS_IN_FLIGHT:
            reason = f"{MAX_CALLS_IN_FLIGHT} calls in flight"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=OVERLOAD_RETRY_SECONDS)
        return operator

    async def _run(
        self, call: _Call, operator: OperatorToken, request: Message, receive: Receive
    ) -> Message | Refusal | None:
        limit = grpc_wire.parse_timeout(call.headers.get(b"grpc-timeout", b"60S"))
        if isinstance(limit, Failure):
            return _refused(call, Refusal(limit))
        try:
            answer = await self._ask_within(_time_to_ask(limit), request, receive)
        except Exception as error:
            fault = f"{type(error).__name__}: {error}"
            write_event(OPERATOR_CALL_FAILED, {"method": call.method, "fault": fault})
            answer = Failure(ErrorKind.INTERNAL, "a fault in the source; its log has more")
        if is_write(request):
            _log_write(call, operator, request, answer)
        return Refusal(answer) if isinstance(answer, Failure) else _redacted(answer)

    async def _ask_within(
        self, limit: float, request: Message, receive: Receive
    ) -> Message | Failure | None:
        answer: Message | Failure | None = None
        with trio.move_on_after(limit) as deadline:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when_gone, receive, nursery.cancel_scope)
                answer = await self._ask(request)
                nursery.cancel_scope.cancel()
        if answer is None and deadline.cancelled_caught:
            return _past_deadline(request, limit)
        return answer


def _time_to_ask(limit: float) -> float:
    """Leave time for the answer to reach the client before its own deadline."""
    bounded = min(limit, MAX_CALL_SECONDS)
    return bounded - min(ANSWER_MARGIN_SECONDS, bounded * ANSWER_MARGIN_PART)


def _past_deadline(request: Message, limit: float) -> Failure:
    if is_write(request):
        reason = f"no answer within {limit:g} s: the write may or may not have run"
        return Failure(ErrorKind.WRITE_UNKNOWN, reason)
    reason = f"no answer within {limit:g} s; a read changes nothing"
    return Failure(ErrorKind.DEADLINE_EXCEEDED, reason)


def _redacted(answer: Message | None) -> Message | None:
    if not isinstance(answer, GetResponse):
        return answer
    return GetResponse(
        version=answer.version,
        resources=[redacted(item) for item in answer.resources],
        missing=answer.missing,
    )


def _log_write(
    call: _Call, operator: OperatorToken, request: Message, answer: Message | Failure | None
) -> None:
    request_id = (
        request.batch.request_id
        if isinstance(request, ApplyRequest)
        else getattr(request, "request_id", "")
    )
    outcome = Outcome.UNKNOWN.value if answer is None else Outcome.RAN.value
    if isinstance(answer, Failure):
        outcome = f"{answer.kind.value} ({answer.outcome.value})"
    fields: dict[str, object] = {
        "operator": operator.name,
        "method": call.method,
        "request_id": request_id,
        "outcome": outcome,
    }
    write_event(OPERATOR_WRITE, fields)


def _refused(call: _Call, refusal: Refusal) -> Refusal:
    fields: dict[str, object] = {
        "client": call.client,
        "method": call.method,
        "kind": refusal.failure.kind.value,
        "reason": shortened(refusal.failure.reason),
    }
    write_event(OPERATOR_REFUSED, fields)
    return refusal


async def _cancel_when_gone(receive: Receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
