"""The order of the requests of one HTTP/1.1 connection, sans-io (RFC 9112, section 9.3.2).

Requests with safe methods that follow each other are begun at once, within the listener's limit on
requests behind others, and may end in any order; their answers go out in the order of the requests.
Any other request begins after all before it have ended, and holds back those behind it. None begins
while the client has too much to read.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from limelever.common.http_messages import HttpAnswer, HttpRequest
from limelever.transport.body_reservation import BodyReservation
from limelever.transport.pipelined_requests import PipelinedRequests

SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})
"""Methods that change nothing (RFC 9110, section 9.2.1); nobody pipelines TRACE."""

DEPTH_LIMIT = 64
"""Requests of one connection read ahead of the oldest unanswered; a choice, not measured."""

UNREAD_LIMIT_BYTES = 64 * 1024
"""Bytes of unread answers, sent or waiting for an earlier one, above which no request is begun."""


class Exchange(Struct, eq=False):
    """A request and, in time, its answer; ``last`` when the connection ends with the answer.

    ``number`` is set by the handler of the request, ``reservation`` is that of its body, and
    ``head_bytes`` are reserved for its head. ``behind`` says that it was begun behind others.
    ``answered_at`` (seconds) is set when the answer has to wait for an earlier one.
    """

    request: HttpRequest
    begun: bool = False
    behind: bool = False
    answer: HttpAnswer | None = None
    last: bool = False
    number: int = 0
    reservation: BodyReservation | None = None
    head_bytes: int = 0
    answered_at: float = 0.0


class Pipeline:
    """The exchanges of one connection that have not ended, oldest first.

    At most ``most_at_once`` of them have begun.
    """

    def __init__(
        self, most_at_once: int = DEPTH_LIMIT, behind: PipelinedRequests | None = None
    ) -> None:
        self.closed = False
        self._behind = behind or PipelinedRequests()
        self._ending = False
        self._most_at_once = most_at_once
        self._exchanges: deque[Exchange] = deque()
        self._held_bytes = 0

    @property
    def empty(self) -> bool:
        """Return whether no request is under way."""
        return not self._exchanges

    @property
    def full(self) -> bool:
        """Return whether no further request is to be read."""
        return len(self._exchanges) >= DEPTH_LIMIT

    def add(self, exchange: Exchange) -> None:
        """Take in a request that was read whole, or one that is answered already."""
        self._exchanges.append(exchange)

    def answer(self, exchange: Exchange, answer: HttpAnswer) -> None:
        """Take the answer of an exchange that has begun."""
        exchange.answer = answer
        self._end_behind(exchange)
        self._held_bytes += len(answer.body)

    def is_oldest(self, exchange: Exchange) -> bool:
        """Return whether no answer goes out before this exchange's."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

    def take_all(self) -> list[Exchange]:
        """Drop and return all exchanges: their client has left."""
        dropped = list(self._exchanges)
        self._exchanges.clear()
        for exchange in dropped:
            self._end_behind(exchange)
        return dropped

    def take_ended(self, leaving: bool) -> Exchange | None:
        """Return the oldest exchange if it has its answer, and drop it.

        ``leaving`` says that the connection is to end: nothing more begins behind an answer
        behind which nothing has begun. The last answer to what was read ends the connection.
        """
        if self.closed or not self._exchanges or self._exchanges[0].answer is None:
            return None
        ended = self._exchanges.popleft()
        assert ended.answer is not None
        self._held_bytes -= len(ended.answer.body)
        self._ending = self._ending or (leaving and not self._any_begun())
        ended.last = ended.last or (self._ending and not self._exchanges)
        if ended.last:
            self.closed = True
        return ended

    def unbegun_at_end(self) -> list[Exchange]:
        """Return the requests that will not begin, as the connection ends; they are refused."""
        if not self._ending or self.closed:
            return []
        return [each for each in self._exchanges if each.answer is None]

    def take_startable(self, leaving: bool, unread_bytes: int = 0) -> Exchange | None:
        """Return a request that may begin now, marked as begun, or ``None``.

        When the connection is to end, only one with nothing before it begins. ``unread_bytes`` of
        answers have been taken for sending, and the client has not read them.
        """
        if unread_bytes > UNREAD_LIMIT_BYTES:
            return None
        for position, exchange in enumerate(self._exchanges):
            if not exchange.begun:
                if not self._may_begin(exchange, position, leaving, unread_bytes):
                    return None
                exchange.begun = True
                if position:
                    exchange.behind = True
                    self._behind.begin()
                return exchange
            if exchange.request.method not in SAFE_METHODS:
                return None
        return None

    def _may_begin(
        self, exchange: Exchange, position: int, leaving: bool, unread_bytes: int
    ) -> bool:
        if self.closed or self._ending or exchange.answer is not None:
            return False
        if position >= self._most_at_once:
            return False
        if position == 0:
            return True
        safe = exchange.request.method in SAFE_METHODS
        has_read = unread_bytes + self._held_bytes <= UNREAD_LIMIT_BYTES
        return safe and not leaving and has_read and self._behind.has_room

    def _end_behind(self, exchange: Exchange) -> None:
        if exchange.behind:
            exchange.behind = False
            self._behind.end()

    def _any_begun(self) -> bool:
        return bool(self._exchanges) and self._exchanges[0].begun
