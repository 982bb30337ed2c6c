"""Checks whether a backend response belongs to its request, and whether the request was run."""

from __future__ import annotations

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, Headers, value_of

MISDIRECTED_REQUEST = 421
"""Status of a backend that is not the addressed instance (RFC 9110, section 15.5.20)."""

NOT_RUN_STATUSES = frozenset({408, MISDIRECTED_REQUEST, 425, 429, 503})
"""Statuses that callers take as a statement that the request was not run."""


def matches_request(request: Headers, response: Headers, names: HeaderNames) -> bool:
    """Return whether a response belongs to the request, by its request id."""
    wanted = value_of(request, names.request_id)
    if not wanted:
        return True
    found = value_of(response, names.request_id)
    return found == wanted or not (found or names.answers_repeat_id)


def backend_refusal(status: int, response: Headers, names: HeaderNames) -> Failure | None:
    """Return the failure if the backend states that it did not run the request, or ``None``."""
    if not value_of(response, names.not_run):
        return None
    if status == MISDIRECTED_REQUEST:
        return Failure(ErrorKind.WRONG_INCARNATION, "backend at this address is another instance")
    return Failure(ErrorKind.BACKEND_REFUSED, f"backend refused the request with status {status}")


def unconfirmed_refusal(status: int, names: HeaderNames) -> Failure | None:
    """Return a failure for a status that implies not run if the backend did not state so."""
    if not names.not_run or status not in NOT_RUN_STATUSES:
        return None
    return Failure(
        ErrorKind.BACKEND_FAILED,
        f"status {status} without confirmation that the request was not run",
    )
