"""What the agent core and its shell say to each other, besides the shared sans-io contract.

The shell carries attempts to the back end beside it; attempt numbers are drawn by the core
and never reused within a process.
"""

from __future__ import annotations

from dataclasses import dataclass

from limelever.common.errors import Failure
from limelever.common.http_headers import Headers
from limelever.common.sansio import Event, Output


@dataclass(frozen=True, slots=True)
class StartAttempt(Output):
    """Send one request to the back end; answered by one ``AttemptAnswered`` or ``AttemptFailed``.

    ``timeout`` is in seconds, counted from now.
    """

    attempt: int
    service: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    timeout: float


@dataclass(frozen=True, slots=True)
class CancelAttempt(Output):
    """Close the request at the back end; the attempt still ends with its one event."""

    attempt: int


@dataclass(frozen=True, slots=True)
class CheckBackend(Output):
    """Try whether a new connection to the back end opens; answered by ``BackendChecked``."""


@dataclass(frozen=True, slots=True)
class DrainFinished(Output):
    """The agent may stop; ``cut_off`` attempts were still running at the drain limit."""

    cut_off: int


@dataclass(frozen=True, slots=True)
class AttemptAnswered(Event):
    """The back end's whole answer."""

    attempt: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptFailed(Event):
    """The attempt ended without a whole answer.

    ``sent_any_byte`` is false only when no byte of the request can have reached the back end, and
    ``refused`` true when the back end itself stated that it did not run the request.
    """

    attempt: int
    failure: Failure
    sent_any_byte: bool
    refused: bool = False


@dataclass(frozen=True, slots=True)
class BackendProbed(Event):
    """Result of one health probe; holds back the first registration, ends no call."""

    healthy: bool


@dataclass(frozen=True, slots=True)
class BackendChecked(Event):
    """Whether a new connection opened, or was at least refused: silence alone says ``False``."""

    reached: bool


@dataclass(frozen=True, slots=True)
class BackendGone(Event):
    """The back end has ended or another has taken its place: nothing more comes of it."""


@dataclass(frozen=True, slots=True)
class DrainRequested(Event):
    """A planned stop begins."""
