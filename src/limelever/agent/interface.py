"""Events and outputs between the agent core and the process that performs its I/O.

They extend the general ones of ``common.sansio``. The core numbers attempts and never reuses a
number within a process.
"""

from __future__ import annotations

from enum import Enum

from limelever.agent.instance_signals import NO_SIGNALS, InstanceSignals
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers
from limelever.common.sansio import Event, Output
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.notices import PublishersReceived


class StartAttempt(Output, frozen=True):
    """Send a request to the back end; ends in one ``AttemptAnswered`` or ``AttemptFailed``.

    ``timeout`` is in seconds from now. ``tenant`` is the name of the caller's tenant, empty if
    there is none.
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
    """Cancel a request to the back end, and close its connection; it still ends with one event.

    ``connection_lost`` is set if the back end no longer responds on that connection.
    """

    attempt: int
    connection_lost: bool = False


class CheckBackend(Output, frozen=True):
    """Check whether a new connection to the back end opens; answered by ``BackendChecked``.

    ``close_idle`` closes idle connections first, since they may be dead. ``asks_load`` sends a
    health request if the connection opens, to learn how many requests the back end has.
    """

    close_idle: bool = True
    asks_load: bool = False


class LimitStarts(Output, frozen=True):
    """Send no request to the back end later than ``within`` seconds from now.

    Attempts that are still waiting for a connection then end as failed with ``DRAINING``.
    """

    within: float


class DrainFinished(Output, frozen=True):
    """The agent may stop; ``cut_off`` attempts were still running and were cancelled."""

    cut_off: int


class CallsLimited(Output, frozen=True):
    """A limit on starts has delayed or refused this many calls.

    It is the limit of a warming back end, or with ``by_statement`` the one that it states.
    """

    delayed: int
    refused: int
    by_statement: bool = False


class InstanceLimitChanged(Output, frozen=True):
    """The instance takes this many calls per second from all proxies together; 0 for no limit."""

    calls_per_s: float


class RequestBodySent(Event, frozen=True):
    """The large body of an attempt's request was sent, and is no longer held."""

    attempt: int


class AttemptAnswered(Event, frozen=True):
    """The back end's complete response.

    ``pace_permille`` is the service time that the back end reports, in thousandths of its usual
    one; 0 if not reported. ``requests`` is how many requests run or wait at the back end by its own
    statement, ``None`` if not reported. ``unsent_for`` is the time in seconds until the request was
    sent, which had to wait for a connection.
    """

    attempt: int
    status: int
    headers: Headers
    body: bytes
    pace_permille: int = 0
    requests: int | None = None
    signals: InstanceSignals = NO_SIGNALS
    unsent_for: float = 0.0


class AttemptFailed(Event, frozen=True):
    """The attempt ended without a complete response.

    ``sent_any_byte`` is false only if no byte of the request can have reached the back end.
    ``refused`` is true if the back end stated that it did not run the request, and
    ``connection_ended`` if the back end closed the connection before it responded. ``signals`` are
    those of a refusal by the instance itself, ``None`` without one.
    """

    attempt: int
    failure: Failure
    sent_any_byte: bool
    refused: bool = False
    connection_ended: bool = False
    signals: InstanceSignals | None = None

    @property
    def backend_at_fault(self) -> bool:
        """Return whether the failure counts as one of the back end."""
        cancelled = self.failure.kind is ErrorKind.CANCELLED
        return self.sent_any_byte and not self.refused and not cancelled

    @property
    def unreachable(self) -> bool:
        """Return whether no connection opened: another process may answer at the address next.

        A connection that closes during a call is followed by a connection check, which decides.
        """
        return not self.sent_any_byte and self.failure.kind is ErrorKind.BACKEND_FAILED


class BackendProbed(Event, frozen=True):
    """Result of a health probe; it delays the first registration.

    ``warm_up_left`` is the remaining warm-up time that the response stated, in seconds; ``None`` if
    it stated none.
    """

    healthy: bool
    warm_up_left: float | None = None
    signals: InstanceSignals = NO_SIGNALS


class WarmUpReported(Event, frozen=True):
    """The back end of this agent reported its remaining warm-up time, in seconds.

    ``sequence`` ascends with the back end's reports; late ones are ignored.
    """

    sequence: int
    warm_up_left: float


class WarmUpForgotten(Event, frozen=True):
    """The warm-up of the back end is no longer known, and counts as running until a report."""


class ConnectResult(Enum):
    """Result of opening a new connection to the back end."""

    OPENED = "opened"
    REFUSED = "refused"
    TIMED_OUT = "timed-out"


class BackendChecked(Event, frozen=True):
    """Result of the connection check that ``CheckBackend`` requested.

    ``requests`` is how many requests run or wait at the back end by its response to a health
    request on the new connection, ``None`` if it sent none or did not state it. ``signals`` are
    those of the same response.
    """

    result: ConnectResult
    requests: int | None = None
    signals: InstanceSignals = NO_SIGNALS


class ConfigurationShared(Event, frozen=True):
    """The process that hosts the agent installed a configuration, which the agent uses too."""

    version: int
    configuration: ConfigurationSet


class RelaysShared(Event, frozen=True):
    """The process that hosts the agent received a list of relays, which the agent uses too."""

    received: PublishersReceived


class BackendGone(Event, frozen=True):
    """The back end has exited or was replaced by another process."""


class DrainRequested(Event, frozen=True):
    """Start a graceful shutdown.

    ``run_departed`` is set if the run of the instance has left, in place of the agent alone.
    """

    run_departed: bool = False


class DrainLimitReached(Event, frozen=True):
    """Stop at once, even if the drain has time left."""


class VersionKnown(Event, frozen=True):
    """The version of the back end's software became known after the agent's start.

    ``warm_up_left`` is the remaining warm-up time of the back end in seconds.
    """

    version: str
    warm_up_left: float = 0.0
