"""What a back end's whole answer says of its request: whether it is one, and whether it ran."""

from __future__ import annotations

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, Headers, value_of

MISDIRECTED = 421
"""Status of a back end that is not the instance meant (RFC 9110, section 15.5.20)."""

NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 425, 429, 503})
"""Statuses by which callers believe that a request was not run."""


def is_of_request(request: Headers, answer: Headers, names: HeaderNames) -> bool:
    """Return whether an answer belongs to the request: one that names another does not."""
    wanted = value_of(request, names.request_id)
    if not wanted:
        return True
    found = value_of(answer, names.request_id)
    return found == wanted or not (found or names.answers_repeat_id)


def refusal_of(status: int, answer: Headers, names: HeaderNames) -> Failure | None:
    """Return why the back end says that it did not run the request, or ``None``."""
    if not value_of(answer, names.not_run):
        return None
    if status == MISDIRECTED:
        return Failure(ErrorKind.WRONG_INCARNATION, "another instance has the address")
    return Failure(ErrorKind.BACKEND_REFUSED, f"the back end refused the request with {status}")


def unfounded_promise(status: int, names: HeaderNames) -> Failure | None:
    """Return the failure in place of a status that promises what the back end did not state."""
    if not names.not_run or status not in NOT_RUN_STATUSES:
        return None
    return Failure(ErrorKind.BACKEND_FAILED, f"{status} without a statement that it did not run")
