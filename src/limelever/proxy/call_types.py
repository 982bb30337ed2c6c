"""What the edge and the proxy core say to each other, besides the shared sans-io contract."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import Failure
from limelever.common.http_headers import Headers
from limelever.common.http_messages import HttpAnswer
from limelever.common.sansio import Event, Output
from limelever.subscriber.configuration import ConfigurationSet

GROUP_HEADER = b"x-limelever-group"
OUTCOME_HEADER = b"x-limelever-outcome"
ERROR_HEADER = b"x-limelever-error"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"

DEFAULT_GROUP = "default"
GROUP_LENGTH_LIMIT = 64
IDEMPOTENCY_KEY_LENGTH_LIMIT = 256


class CallRequest(Struct, frozen=True):
    """One caller's whole request; header names are in lower case.

    ``timeout`` is in seconds, 0 when the caller named none; ``host`` is in lower case, and
    ``request_id`` the caller's own name for this sending.
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
"""The back end's whole answer."""


class CallArrived(Event, frozen=True):
    """A caller's request has been read whole; ``call`` is drawn by the edge, never reused."""

    call: int
    request: CallRequest


class CallerGone(Event, frozen=True):
    """The caller left before its answer; no ``AnswerCall`` follows."""

    call: int


class StopRequested(Event, frozen=True):
    """A planned stop began: the edge has stopped listening."""


class StopLimitNear(Event, frozen=True):
    """The process ends soon: calls that no back end has begun are to be answered NOT RUN now."""


class StopLimitReached(Event, frozen=True):
    """The process ends: each call still open is to have its final answer now."""


class AnswerCall(Output, frozen=True):
    """The one final answer of a call, ``seconds`` after its request was read whole.

    ``route`` is empty for a call that no route matched.
    """

    call: int
    answer: CallAnswer | Failure
    route: str = ""
    seconds: float = 0.0


class StopFinished(Output, frozen=True):
    """No call is in flight any more: the process may end."""


class ConfigurationInForce(Output, frozen=True):
    """The proxy routes by this configuration now; others in its process may use it too."""

    version: int
    configuration: ConfigurationSet


class HealthPathKnown(Output, frozen=True):
    """The configuration names this path for health probes of the service beside the proxy."""

    path: str


class ProxyReady(Output, frozen=True):
    """The first configuration is in force: calls can be routed from now on."""
