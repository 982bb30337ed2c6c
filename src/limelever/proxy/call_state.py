"""State of the proxy's calls in flight, indexed by call number, claim token and stream."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from enum import Enum, auto

from msgspec import Struct, field

from limelever.common.body_buffer import BodyBuffer
from limelever.common.errors import Failure
from limelever.common.http_headers import Headers
from limelever.common.sansio import ConnectionId
from limelever.proxy.call_types import CallAnswer, CallRequest
from limelever.proxy.endpoints import EndpointEntry, EndpointKey
from limelever.proxy.group_limits import ShareKey
from limelever.proxy.health import Verdict
from limelever.proxy.region_usage import Place
from limelever.proxy.router import RouteDestination, RouteEntry

NOT_SENT = 0
"""Stream number of an attempt that is still waiting for its link."""

_COMPACT_MIN_ENTRIES = 64
_COMPACT_FACTOR = 4


class Phase(Enum):
    """What a call is waiting for.

    ``CLAIMING``: its claim at the keepers; ``DIALLING``: a link to the agent; ``HANDED_ON``: the
    agent's answer; ``CANCELLING``: the agent's reply to a cancel sent at the deadline;
    ``COMPLETING``: the keepers' record of its answer.
    """

    CLAIMING = auto()
    DIALLING = auto()
    HANDED_ON = auto()
    CANCELLING = auto()
    COMPLETING = auto()


class Attempt(Struct):
    """One attempt of a call at one incarnation of an endpoint; ``started_at`` in seconds.

    ``known_depth`` is the number of consecutive back-end crashes attributed to the request when the
    attempt started. ``verdict_if_run`` is set when the agent is asked to cancel at the deadline: it
    is the verdict on the endpoint if the back end had started the call. ``answer_bytes`` is the
    stated size of the answer, ``held_bytes`` what the process's budget holds for it, and
    ``owed_credit`` the bytes of it for which no credit was given yet.
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
    body: BodyBuffer = field(default_factory=BodyBuffer)
    answer_bytes: int = 0
    held_bytes: int = 0
    owed_credit: int = 0
    verdict_if_run: Verdict | None = None


class Call(Struct):
    """One call from its admission to its final answer; times in seconds.

    - ``destination``: the service that the call is routed to.
    - ``share``: the service and group whose limit the call counts against.
    - ``target_at``: when the route's latency target expires, counted from the caller's first
      request where that is known.
    - ``wake_at``: when the call must be processed next.
    - ``redirects``: attempts after failures that cost no back end work, such as a draining agent.
    - ``backend_attempts``: attempts that reached a back end, including those it refused.
    - ``alternates_tried``: other endpoints tried after an agent refused the call.
    - ``refused_zones``: zones whose agents refused the call because their zone is drained.
    - ``version``: version of the route table that admitted the call.
    - ``may_have_run``: the first failure whose outcome was not NOT RUN. Once set, no later failure
      may report the call as not run.
    - ``head_digest``: digest of the request without its body, 0 until it is computed.
    - ``tenant``: the tenant identified by the caller's key, empty for none.
    - ``allowed_regions``: regions in which the call may run, ``None`` for any.
    - ``spans_regions``: whether the last attempt could choose between the own and other regions.
    - ``place``: where the endpoint of the last attempt is.
    - ``rank``: the call's priority rank in the agent's queue, 0 for none.
    """

    number: int
    request: CallRequest
    route: RouteEntry
    destination: RouteDestination
    share: ShareKey
    deadline: float
    target_at: float = math.inf
    phase: Phase = Phase.DIALLING
    wake_at: float = 0.0
    token: bytes = b""
    attempt: Attempt | None = None
    attempts: int = 0
    redirects: int = 0
    backend_attempts: int = 0
    alternates_tried: int = 0
    arrived_at: float = 0.0
    version: int = 0
    last_instance: str = ""
    tried: set[EndpointKey] = field(default_factory=set)
    refused_zones: set[str] = field(default_factory=set)
    may_have_run: Failure | None = None
    answer: CallAnswer | None = None
    caller_gone: bool = False
    head_digest: int = 0
    tenant: str = ""
    rank: int = 0
    allowed_regions: frozenset[str] | None = None
    place: Place = Place.UNKNOWN
    spans_regions: bool = False

    @property
    def is_sent_completely(self) -> bool:
        """Whether the current attempt was sent to its agent with its whole body.

        An agent starts no call before it has the last byte of the body, so an attempt of which
        less was sent was not run.
        """
        attempt = self.attempt
        if attempt is None or attempt.stream == NOT_SENT:
            return False
        return attempt.sent_bytes >= len(self.request.body)


class AttemptEnded(Struct, frozen=True):
    """The result of a call's current attempt.

    ``crash`` identifies the crash of the back-end process during the attempt, 0 for none;
    ``known_depth`` is copied from the attempt.
    """

    call: Call
    result: CallAnswer | Failure
    crash: int = 0
    known_depth: int = 0


class CallTable:
    """Calls in flight, their indexes, and a heap of their wakeup times."""

    def __init__(self) -> None:
        self._calls: dict[int, Call] = {}
        self._by_token: dict[bytes, Call] = {}
        self._by_stream: dict[tuple[ConnectionId, int], Call] = {}
        self._streams: Counter[ConnectionId] = Counter()
        self._wakeups: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: Call) -> None:
        """Add a call and schedule a wakeup at its deadline."""
        self._calls[call.number] = call
        self.schedule(call, call.deadline)

    def remove(self, call: Call) -> None:
        """Remove a call that has ended."""
        del self._calls[call.number]
        if call.token:
            del self._by_token[call.token]

    def all(self) -> tuple[Call, ...]:
        """Return the calls in flight."""
        return tuple(self._calls.values())

    def by_number(self, number: int) -> Call | None:
        """Return the call with this number, as assigned by the edge."""
        return self._calls.get(number)

    def by_token(self, token: bytes) -> Call | None:
        """Return the call whose claim has this token."""
        return self._by_token.get(token)

    def by_stream(self, connection: ConnectionId, stream: int) -> Call | None:
        """Return the call whose current attempt runs on this stream."""
        return self._by_stream.get((connection, stream))

    def set_token(self, call: Call, token: bytes) -> None:
        """Set the token of the call's claim and index the call by it."""
        call.token = token
        self._by_token[token] = call

    def bind_stream(self, call: Call, attempt: Attempt) -> None:
        """Route answers on the attempt's stream to the call."""
        self._by_stream[(attempt.connection, attempt.stream)] = call
        self._streams[attempt.connection] += 1

    def unbind_stream(self, attempt: Attempt) -> None:
        """Stop routing answers on the attempt's stream; later ones are dropped as late."""
        if self._by_stream.pop((attempt.connection, attempt.stream), None) is not None:
            self._streams[attempt.connection] -= 1
            if not self._streams[attempt.connection]:
                del self._streams[attempt.connection]

    def is_busy(self, connection: ConnectionId) -> bool:
        """Return whether a connection carries calls."""
        return connection in self._streams

    def on_connection(self, connection: ConnectionId) -> list[Call]:
        """Return the calls sent over a connection."""
        return [call for (carrier, _), call in self._by_stream.items() if carrier == connection]

    def busy_connections(self) -> frozenset[ConnectionId]:
        """Return the connections that carry calls."""
        return frozenset(self._streams)

    def schedule(self, call: Call, at: float) -> None:
        """Schedule the call's wakeup at ``at`` (seconds), replacing the previous one."""
        call.wake_at = at
        heapq.heappush(self._wakeups, (at, call.number))
        if len(self._wakeups) > max(_COMPACT_MIN_ENTRIES, _COMPACT_FACTOR * len(self._calls)):
            self._wakeups = [(c.wake_at, c.number) for c in self._calls.values()]
            heapq.heapify(self._wakeups)

    def next_wakeup(self) -> float | None:
        """Return the earliest wakeup time of any call, or ``None``."""
        while self._wakeups:
            at, number = self._wakeups[0]
            call = self._calls.get(number)
            if call is not None and call.wake_at == at:
                return at
            heapq.heappop(self._wakeups)
        return None

    def take_due(self, now: float) -> Call | None:
        """Return one call whose wakeup time has passed, if any."""
        at = self.next_wakeup()
        if at is None or at > now:
            return None
        _, number = heapq.heappop(self._wakeups)
        return self._calls[number]
