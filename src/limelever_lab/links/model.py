"""A machine's link under short calls and bodies: what is sent is delivered in order, at its rate.

Bodies come by the agent's credit, or all at once as a sender without credit would push them. The
credit core is the shipped one; senders answer a credit after a round trip.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from limelever.agent.body_credit import BodyCreditScheduler, Grant
from limelever_lab.bench.quantiles import Quantiles
from limelever_lab.links.course import Event, LinkCourse

SHORT_CALL_BYTES = 600
"""Size of a call without a body on the wire: its head and the link's own."""


class Sending(Enum):
    """How bodies are sent."""

    PUSHED = auto()
    BY_CREDIT = auto()


@dataclass(frozen=True, slots=True)
class LinkLoad:
    """What a link is given; rates in bytes and calls a second, times in seconds."""

    rate: int = 487_500
    used_by_bodies: float = 0.8
    body_bytes: int = 60_000
    short_calls: float = 20.0
    round_trip: float = 0.01
    seconds: float = 120.0


@dataclass(frozen=True, slots=True)
class LinkOutcome:
    """How long short calls and bodies took from their arrival to their last byte."""

    short: Quantiles
    bodies: Quantiles
    bodies_unfinished: int


@dataclass(slots=True)
class _Body:
    """One upload: ``missing`` bytes are not here yet."""

    began_at: float
    missing: int


class _Step(Enum):
    """What happens at a moment."""

    SHORT_CALL = auto()
    BODY = auto()
    CREDIT = auto()
    ARRIVED = auto()


class LinkModel:
    """One run of a seed under virtual time."""

    def __init__(self, load: LinkLoad, sending: Sending, seed: int) -> None:
        self._load = load
        self._sending = sending
        self._course = LinkCourse(load.rate, load.seconds, seed)
        self._credit = BodyCreditScheduler(load.rate)
        self._bodies: dict[int, _Body] = {}
        self._short: list[float] = []
        self._whole: list[float] = []

    def run(self) -> LinkOutcome:
        """Play the run to its end."""
        load = self._load
        for at in self._course.arrivals(load.short_calls):
            self._course.plan(at, _Step.SHORT_CALL)
        for at in self._course.arrivals(load.rate * load.used_by_bodies / load.body_bytes):
            self._course.plan(at, _Step.BODY, call=self._course.draw_number())
        for event in self._course.events(load.seconds):
            self._happen(event)
        return LinkOutcome(Quantiles.of(self._short), Quantiles.of(self._whole), len(self._bodies))

    def _happen(self, event: Event) -> None:
        match event.step:
            case _Step.SHORT_CALL:
                self._short.append(self._course.deliver(event.at, SHORT_CALL_BYTES) - event.at)
            case _Step.BODY:
                self._begin(event)
            case _Step.CREDIT:
                self._send(event.at, event.call, event.size)
            case _Step.ARRIVED:
                self._take(event)

    def _begin(self, event: Event) -> None:
        size = max(1, round(self._load.body_bytes * self._course.random.uniform(0.4, 1.6)))
        self._bodies[event.call] = _Body(event.at, size)
        if self._sending is Sending.PUSHED:
            self._send(event.at, event.call, size)
            return
        self._credit.add(event.call, size)
        self._grant(event.at)

    def _grant(self, now: float) -> None:
        grants: list[Grant] = self._credit.grants(now)
        for grant in grants:
            self._course.plan(now + self._load.round_trip, _Step.CREDIT, grant.call, grant.size)

    def _send(self, now: float, call: int, size: int) -> None:
        self._course.plan(self._course.deliver(now, size), _Step.ARRIVED, call, size)

    def _take(self, event: Event) -> None:
        body = self._bodies[event.call]
        body.missing -= event.size
        if self._sending is Sending.BY_CREDIT:
            self._credit.received(event.call, event.size, event.at)
        if not body.missing:
            del self._bodies[event.call]
            self._credit.remove(event.call)
            self._whole.append(event.at - body.began_at)
        if self._sending is Sending.BY_CREDIT:
            self._grant(event.at)
