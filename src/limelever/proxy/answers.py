"""How failures and answers look to the caller: status, headers and a JSON body."""

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
_JSON = (b"content-type", b"application/json")
_RAN = (OUTCOME_HEADER, Outcome.RAN.value.encode())


def render_answer(
    answer: CallAnswer | Failure, retry_decimals: int = 0, challenge: bytes = b""
) -> CallAnswer:
    """Return what goes to the caller for a back end's answer or a failure.

    ``retry_decimals`` is the precision of Retry-After. RFC 9110 knows whole seconds only; callers
    that read fractions are sent back sooner. ``challenge`` is the scheme of the key that a caller
    without one is asked for, empty for none.
    """
    return (
        render_failure(answer, retry_decimals, challenge)
        if isinstance(answer, Failure)
        else render_success(answer)
    )


def render_success(answer: CallAnswer) -> CallAnswer:
    """Return the back end's answer with its outcome and length stated."""
    headers = [
        (name, value)
        for name, value in answer.headers
        if name not in (CONTENT_LENGTH_HEADER, OUTCOME_HEADER, ERROR_HEADER)
    ]
    headers += [_RAN, *_length(answer)]
    return CallAnswer(answer.status, tuple(headers), answer.body)


def render_failure(failure: Failure, retry_decimals: int = 0, challenge: bytes = b"") -> CallAnswer:
    """Return the HTTP answer of a failure, by the row of its kind in the error table.

    Wherever the table says to come back later, the answer names a time.
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
        _JSON,
        (CONTENT_LENGTH_HEADER, str(len(body)).encode()),
        (OUTCOME_HEADER, failure.outcome.value.encode()),
        (ERROR_HEADER, failure.kind.value.encode()),
    )
    if failure.retry_after > 0:
        headers += ((RETRY_AFTER_HEADER, _delay(failure.retry_after, retry_decimals)),)
    if failure.kind is ErrorKind.UNAUTHENTICATED and challenge:
        headers += ((CHALLENGE_HEADER, challenge),)
    return CallAnswer(failure.answer.http_status, headers, body)


def _delay(seconds: float, decimals: int) -> bytes:
    """Return a delay rounded up, as Retry-After states it; never 0."""
    unit = 10**decimals
    units = max(1, math.ceil(seconds * unit))
    return f"{units / unit:.{decimals}f}".encode()


def _length(answer: CallAnswer) -> Headers:
    """Return the body's length; an answer to HEAD or without a body keeps what it stated."""
    if not answer.body:
        return tuple(h for h in answer.headers if h[0] == CONTENT_LENGTH_HEADER)
    return ((CONTENT_LENGTH_HEADER, str(len(answer.body)).encode()),)
