"""Events and outputs between the proxy's core and its process: calls, planned stops, readiness."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.departed_runs import DepartedRun
from limelever.common.errors import Failure
from limelever.common.http_headers import Headers
from limelever.common.http_messages import HttpAnswer
from limelever.common.sansio import Address, Event, Output
from limelever.proxy.region_usage import Place
from limelever.subscriber.configuration import ConfigurationSet

GROUP_HEADER = b"x-limelever-group"
OUTCOME_HEADER = b"x-limelever-outcome"
ERROR_HEADER = b"x-limelever-error"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"

DEFAULT_GROUP = "default"
GROUP_LENGTH_LIMIT = 64
IDEMPOTENCY_KEY_LENGTH_LIMIT = 256


class CallRequest(Struct, frozen=True):
    """One caller's complete request; header names and ``host`` are in lower case.

    ``timeout`` is in seconds, 0 if the caller set none. ``request_id`` is chosen by the caller and
    identifies this transmission of the request.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    group: str = DEFAULT_GROUP
    idempotency_key: bytes = b""
    timeout: float = 0.0
    host: bytes = b""
    request_id: bytes = b""


CallAnswer = HttpAnswer
"""A back end's complete answer."""


class CallArrived(Event, frozen=True):
    """A caller's request was read completely; ``call`` is a number that the edge never reuses."""

    call: int
    request: CallRequest


class CallerGone(Event, frozen=True):
    """The caller disconnected before its answer; no ``AnswerCall`` follows."""

    call: int


class StopRequested(Event, frozen=True):
    """A planned stop has begun and the edge has stopped listening."""


class StopLimitNear(Event, frozen=True):
    """The process exits soon: calls that no back end has started must be answered NOT RUN."""


class StopLimitReached(Event, frozen=True):
    """The process is exiting: each open call must get its final answer now."""


class AnswerCall(Output, frozen=True):
    """The final answer of a call, ``seconds`` after its request was read completely.

    ``route`` is empty if the call was rejected before it was admitted. ``place`` is where the
    endpoint of the last attempt is.
    """

    call: int
    answer: CallAnswer | Failure
    route: str = ""
    seconds: float = 0.0
    place: Place = Place.UNKNOWN


class StopFinished(Output, frozen=True):
    """No call is in flight any more; the process may exit."""


class ConfigurationApplied(Output, frozen=True):
    """The proxy now routes by this configuration; other components of its process may use it."""

    version: int
    configuration: ConfigurationSet


class HealthPathChanged(Output, frozen=True):
    """The configuration sets a new health probe path for the service beside the proxy."""

    path: str


class RunDeparted(Event, frozen=True):
    """The run of the instance beside the proxy has left; the relay is to store that."""

    run: DepartedRun


class ReportDeparture(Output, frozen=True):
    """Report to the relay that a run has left, as an agent's answer stated."""

    run: DepartedRun


class RunDepartureStored(Output, frozen=True):
    """A relay has stored that the run has left."""

    run: DepartedRun


class ProxyReady(Output, frozen=True):
    """The first configuration was applied; calls can be routed from now on."""


class ReportSuspects(Output, frozen=True):
    """Tell the relay that the links to the agents at these addresses are suspect."""

    addresses: frozenset[Address]


class SuspectLinksChanged(Output, frozen=True):
    """The number of links to agents that are suspect has changed to ``count``."""

    count: int
