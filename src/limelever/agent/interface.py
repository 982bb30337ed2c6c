"""What the agent core and its shell say to each other, besides the shared sans-io contract.

The shell carries attempts to the back end beside it; attempt numbers are drawn by the core
and never reused within a process.
"""

from __future__ import annotations

from enum import Enum

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers
from limelever.common.sansio import Event, Output
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.notices import PublishersReceived


class StartAttempt(Output, frozen=True):
    """Send one request to the back end; answered by one ``AttemptAnswered`` or ``AttemptFailed``.

    ``timeout`` is in seconds, counted from now. ``tenant`` is the name of the caller's tenant,
    empty for none.
    """

    attempt: int
    service: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    timeout: float
    tenant: str = ""


class CancelAttempt(Output, frozen=True):
    """Close the request at the back end; the attempt still ends with its one event."""

    attempt: int


class CheckBackend(Output, frozen=True):
    """Try whether a new connection to the back end opens; answered by ``BackendChecked``.

    Idle connections are closed first if they may have been silenced.
    """

    close_idle: bool = True


class DrainFinished(Output, frozen=True):
    """The agent may stop; ``cut_off`` attempts were still running at the drain limit."""

    cut_off: int


class AttemptAnswered(Event, frozen=True):
    """The back end's whole answer, and how long it says that work takes there now.

    ``pace_permille`` is 1000 as usual, 0 if not told.
    """

    attempt: int
    status: int
    headers: Headers
    body: bytes
    pace_permille: int = 0


class AttemptFailed(Event, frozen=True):
    """The attempt ended without a whole answer.

    ``sent_any_byte`` is false only when no byte of the request can have reached the back end, and
    ``refused`` true when the back end itself stated that it did not run the request.
    ``connection_ended`` says that the back end's side of the connection ended before its answer.
    """

    attempt: int
    failure: Failure
    sent_any_byte: bool
    refused: bool = False
    connection_ended: bool = False

    @property
    def by_backend(self) -> bool:
        """Whether the back end is to blame that the attempt brought no answer."""
        cancelled = self.failure.kind is ErrorKind.CANCELLED
        return self.sent_any_byte and not self.refused and not cancelled


class BackendProbed(Event, frozen=True):
    """Result of one health probe; holds back the first registration, ends no call."""

    healthy: bool


class BackendReach(Enum):
    """What became of a new connection to the back end: ``SILENT`` if nothing within its time."""

    OPENED = "opened"
    REFUSED = "refused"
    SILENT = "silent"


class BackendChecked(Event, frozen=True):
    """A new connection to the back end was tried."""

    reach: BackendReach


class ConfigurationShared(Event, frozen=True):
    """A configuration that the process keeps for itself is in force, and serves its agent too."""

    version: int
    configuration: ConfigurationSet


class RelaysShared(Event, frozen=True):
    """The process was told of the relays, on a subscription that serves its agent too."""

    received: PublishersReceived


class BackendGone(Event, frozen=True):
    """The back end has ended or another has taken its place: nothing more comes of it."""


class DrainRequested(Event, frozen=True):
    """A planned stop begins."""


class DrainLimitReached(Event, frozen=True):
    """The process ends now, whatever time the drain would have left."""


class VersionKnown(Event, frozen=True):
    """The version of the back end's software has become known after the agent's start.

    ``warm_up_left`` is for how many seconds the back end is slow after its own start.
    """

    version: str
    warm_up_left: float = 0.0
