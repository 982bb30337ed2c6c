"""Renders answers and failures as HTTP responses: status, headers and a JSON body."""

from __future__ import annotations

import json
import math

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.common.http_headers import Headers
from limelever.proxy.call_types import ERROR_HEADER, OUTCOME_HEADER, CallAnswer
from limelever.proxy.retry_rules import with_retry_after

RETRY_AFTER_HEADER = b"retry-after"
CONTENT_LENGTH_HEADER = b"content-length"
CHALLENGE_HEADER = b"www-authenticate"
_MILLISECONDS = 1000
_JSON_CONTENT_TYPE = (b"content-type", b"application/json")
_OUTCOME_RAN = (OUTCOME_HEADER, Outcome.RAN.value.encode())


def render_answer(
    answer: CallAnswer | Failure, retry_after_decimals: int = 0, challenge: bytes = b""
) -> CallAnswer:
    """Return the HTTP response for a back end's answer or a failure.

    ``retry_after_decimals`` is the precision of Retry-After. RFC 9110 allows whole seconds only;
    callers that parse fractions can retry sooner. ``challenge`` is the WWW-Authenticate scheme sent
    to callers without a key, empty for none.
    """
    return (
        render_failure(answer, retry_after_decimals, challenge)
        if isinstance(answer, Failure)
        else render_success(answer)
    )


def render_success(answer: CallAnswer) -> CallAnswer:
    """Return the back end's answer with the outcome and Content-Length headers set."""
    headers = [
        (name, value)
        for name, value in answer.headers
        if name not in (CONTENT_LENGTH_HEADER, OUTCOME_HEADER, ERROR_HEADER)
    ]
    headers += [_OUTCOME_RAN, *_content_length(answer)]
    return CallAnswer(answer.status, tuple(headers), answer.body)


def render_failure(
    failure: Failure, retry_after_decimals: int = 0, challenge: bytes = b""
) -> CallAnswer:
    """Return the HTTP response for a failure, as the error table defines it for its kind.

    Sets Retry-After on every failure that the table advises to retry after a delay.
    """
    failure = with_retry_after(failure)
    content = {
        "kind": failure.kind.value,
        "reason": failure.reason,
        "outcome": failure.outcome.value,
        "retry_after_ms": round(failure.retry_after * _MILLISECONDS),
    }
    body = json.dumps(content).encode()
    headers: Headers = (
        _JSON_CONTENT_TYPE,
        (CONTENT_LENGTH_HEADER, str(len(body)).encode()),
        (OUTCOME_HEADER, failure.outcome.value.encode()),
        (ERROR_HEADER, failure.kind.value.encode()),
    )
    if failure.retry_after > 0:
        headers += (
            (RETRY_AFTER_HEADER, _retry_after_value(failure.retry_after, retry_after_decimals)),
        )
    if failure.kind is ErrorKind.UNAUTHENTICATED and challenge:
        headers += ((CHALLENGE_HEADER, challenge),)
    return CallAnswer(failure.answer.http_status, headers, body)


def _retry_after_value(seconds: float, decimals: int) -> bytes:
    """Format a delay for Retry-After, rounded up and never 0."""
    unit = 10**decimals
    units = max(1, math.ceil(seconds * unit))
    return f"{units / unit:.{decimals}f}".encode()


def _content_length(answer: CallAnswer) -> Headers:
    """Return the Content-Length header; answers without a body, as to HEAD, keep their own."""
    if not answer.body:
        return tuple(h for h in answer.headers if h[0] == CONTENT_LENGTH_HEADER)
    return ((CONTENT_LENGTH_HEADER, str(len(answer.body)).encode()),)
