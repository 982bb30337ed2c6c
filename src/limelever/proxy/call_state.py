"""The calls in flight at the proxy: their state, and lookups by number, token and stream."""

from __future__ import annotations

import heapq
import math
from enum import Enum, auto

from msgspec import Struct, field

from limelever.common.errors import Failure
from limelever.common.http_headers import Headers
from limelever.common.sansio import ConnectionId
from limelever.proxy.call_types import CallAnswer, CallRequest
from limelever.proxy.endpoints import EndpointEntry, EndpointKey
from limelever.proxy.group_limits import ShareKey
from limelever.proxy.health import Verdict
from limelever.proxy.router import RouteEntry, RoutePart

NOT_SENT = 0
"""Stream of an attempt that waits for its link."""

_COMPACT_FROM = 64
_STALE_FACTOR = 4


class Phase(Enum):
    """What a call waits for."""

    CLAIMING = auto()
    DIALLING = auto()
    HANDED_ON = auto()
    CANCELLING = auto()
    COMPLETING = auto()


class Attempt(Struct):
    """One attempt at one incarnation of one endpoint; ``started_at`` in seconds.

    ``known_depth`` is how often in a row back ends were known to have ended under the request as
    the attempt began. ``verdict_if_run`` is set once the agent was asked to cancel: what the
    attempt says of its endpoint if it had begun.
    """

    entry: EndpointEntry
    attempt_id: bytes
    connection: ConnectionId
    started_at: float
    known_depth: int = 0
    stream: int = NOT_SENT
    sent_bytes: int = 0
    credit_bytes: int = 0
    status: int = 0
    headers: Headers = ()
    body: bytearray = field(default_factory=bytearray)
    verdict_if_run: Verdict | None = None


class Call(Struct):
    """One call from its admission to its final answer; times in seconds.

    ``target`` counts from the caller's first request, as far as that is known. ``part`` is the
    service that takes the call, ``further_choices`` counts the endpoints that were asked after an
    agent's refusal, ``arrivals`` counts the attempts that reached a
    back end, refused there or not. ``may_have_run`` is the first failure of an attempt whose
    outcome is not NOT RUN: once it is set, no later failure may say that the call was not run.
    ``wake_at`` is when the call must be looked at next, ``head_digest`` that of its request without
    the body once somebody needed it. ``tenant`` is the name of the tenant whose key the caller
    showed, empty for none, ``rank`` its place among calls at one back end, 0 for none.
    """

    number: int
    request: CallRequest
    route: RouteEntry
    part: RoutePart
    share: ShareKey
    deadline: float
    target: float = math.inf
    phase: Phase = Phase.DIALLING
    wake_at: float = 0.0
    token: bytes = b""
    attempt: Attempt | None = None
    attempts: int = 0
    redirects: int = 0
    arrivals: int = 0
    further_choices: int = 0
    arrived_at: float = 0.0
    version: int = 0
    last_instance: str = ""
    tried: set[EndpointKey] = field(default_factory=set)
    may_have_run: Failure | None = None
    answer: CallAnswer | None = None
    caller_gone: bool = False
    head_digest: int = 0
    tenant: str = ""
    rank: int = 0


class AttemptEnded(Struct, frozen=True):
    """The end of a call's current attempt.

    ``crash`` numbers the end of its back end's process, 0 for none; ``known_depth`` is that of the
    attempt.
    """

    call: Call
    result: CallAnswer | Failure
    crash: int = 0
    known_depth: int = 0


class CallTable:
    """Calls in flight, and a heap of the times at which they must be looked at."""

    def __init__(self) -> None:
        self._calls: dict[int, Call] = {}
        self._by_token: dict[bytes, Call] = {}
        self._by_stream: dict[tuple[ConnectionId, int], Call] = {}
        self._wakes: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: Call) -> None:
        """Take in a call and wake it at its deadline."""
        self._calls[call.number] = call
        self.wake(call, call.deadline)

    def remove(self, call: Call) -> None:
        """Forget a call that was answered or dropped."""
        del self._calls[call.number]
        if call.token:
            del self._by_token[call.token]

    def all(self) -> tuple[Call, ...]:
        """Return the calls in flight."""
        return tuple(self._calls.values())

    def by_number(self, number: int) -> Call | None:
        """Return the call the edge knows by this number."""
        return self._calls.get(number)

    def by_token(self, token: bytes) -> Call | None:
        """Return the call whose claim has this token."""
        return self._by_token.get(token)

    def by_stream(self, connection: ConnectionId, stream: int) -> Call | None:
        """Return the call whose current attempt runs on this stream."""
        return self._by_stream.get((connection, stream))

    def set_token(self, call: Call, token: bytes) -> None:
        """Name the token of the call's claim."""
        call.token = token
        self._by_token[token] = call

    def bind_stream(self, call: Call, attempt: Attempt) -> None:
        """Match answers on the attempt's stream to the call."""
        self._by_stream[(attempt.connection, attempt.stream)] = call

    def unbind_stream(self, attempt: Attempt) -> None:
        """Match the attempt's stream no more: what comes on it is late."""
        self._by_stream.pop((attempt.connection, attempt.stream), None)

    def on_connection(self, connection: ConnectionId) -> list[Call]:
        """Return the calls handed on over a connection."""
        return [call for (at, _), call in self._by_stream.items() if at == connection]

    def busy_connections(self) -> frozenset[ConnectionId]:
        """Return the connections that carry calls."""
        return frozenset(connection for connection, _ in self._by_stream)

    def wake(self, call: Call, at: float) -> None:
        """Look at the call at time ``at`` (seconds), instead of any earlier request."""
        call.wake_at = at
        heapq.heappush(self._wakes, (at, call.number))
        if len(self._wakes) > max(_COMPACT_FROM, _STALE_FACTOR * len(self._calls)):
            self._wakes = [(c.wake_at, c.number) for c in self._calls.values()]
            heapq.heapify(self._wakes)

    def next_wake(self) -> float | None:
        """Return the earliest time at which a call must be looked at."""
        while self._wakes:
            at, number = self._wakes[0]
            call = self._calls.get(number)
            if call is not None and call.wake_at == at:
                return at
            heapq.heappop(self._wakes)
        return None

    def take_due(self, now: float) -> Call | None:
        """Return one call whose time has come, if any."""
        at = self.next_wake()
        if at is None or at > now:
            return None
        _, number = heapq.heappop(self._wakes)
        return self._calls[number]
