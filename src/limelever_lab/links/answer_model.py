"""A machine's link under long and short answers: what is sent is delivered in order, at its rate.

Long answers leave by the agent's core for its link, or all at once as soon as they are ready. The
core is the shipped one; arrivals, sizes and times at the back end are drawn from a seed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto

from limelever.agent.response_pacer import CallTiming, ResponsePacer
from limelever_lab.bench.quantiles import Quantiles
from limelever_lab.links.course import Event, LinkCourse

SHORT_ANSWER_BYTES = 600
"""Size of a short answer on the wire: its head, its body and the link's own."""

LONG, SHORT = "long", "short"
_UNBOUNDED = 1 << 40


class Leaving(Enum):
    """How long answers leave."""

    PUSHED = auto()
    PACED = auto()


@dataclass(frozen=True, slots=True)
class AnswerLoad:
    """What a link is given; rates in bytes and calls a second, times in seconds."""

    rate: int = 750_000
    asked: float = 0.8
    answer_bytes: int = 90_000
    short_answers: float = 20.0
    service_time: float = 0.13
    target: float = 1.0
    deadline: float = 2.5
    seconds: float = 120.0


@dataclass(frozen=True, slots=True)
class AnswerOutcome:
    """Seconds from ready to the last byte for short answers, from arrival on for long ones.

    ``in_target`` is a part of all long calls that came, ``refused`` too.
    """

    short: Quantiles
    long: Quantiles
    in_target: float
    refused: float


class _Step(Enum):
    SHORT_ANSWER = auto()
    CALL = auto()
    READY = auto()
    TURN = auto()


class AnswerModel:
    """One run of a seed under virtual time."""

    def __init__(self, load: AnswerLoad, leaving: Leaving, seed: int) -> None:
        self._load = load
        self._leaving = leaving
        self._course = LinkCourse(load.rate, load.seconds, seed)
        self._link = ResponsePacer(load.rate)
        self._began: dict[int, float] = {}
        self._left: dict[int, int] = {}
        self._turn_at = math.inf
        self._short: list[float] = []
        self._long: list[float] = []
        self._calls = 0
        self._refused = 0

    def run(self) -> AnswerOutcome:
        """Play the run to its end."""
        load = self._load
        for at in self._course.arrivals(load.short_answers):
            self._course.plan(at, _Step.SHORT_ANSWER)
        for at in self._course.arrivals(load.rate * load.asked / load.answer_bytes):
            self._course.plan(at, _Step.CALL, call=self._course.draw_number())
        for event in self._course.events(math.inf):
            self._happen(event)
        in_target = sum(seconds <= load.target for seconds in self._long)
        return AnswerOutcome(
            Quantiles.of(self._short),
            Quantiles.of(self._long),
            in_target / self._calls,
            self._refused / self._calls,
        )

    def _happen(self, event: Event) -> None:
        match event.step:
            case _Step.SHORT_ANSWER:
                self._link.record_sent(SHORT_ANSWER_BYTES, event.at)
                self._short.append(self._course.deliver(event.at, SHORT_ANSWER_BYTES) - event.at)
            case _Step.CALL:
                self._come(event)
            case _Step.READY:
                self._ready(event)
            case _Step.TURN:
                self._turn_at = math.inf
                self._take_turns(event.at)

    def _come(self, event: Event) -> None:
        load, now = self._load, event.at
        self._calls += 1
        times = CallTiming(now + load.target, now + load.deadline, load.service_time)
        if self._leaving is Leaving.PACED and self._link.lateness(LONG, times, now):
            self._refused += 1
            return
        self._began[event.call] = now
        self._link.reserve(event.call, LONG)
        size = max(1, round(load.answer_bytes * self._course.random.uniform(0.2, 1.8)))
        seconds = load.service_time * self._course.random.uniform(0.5, 1.5)
        self._course.plan(now + seconds, _Step.READY, event.call, size)

    def _ready(self, event: Event) -> None:
        self._link.release(event.call)
        self._link.observe(LONG, event.size)
        if self._leaving is Leaving.PUSHED:
            self._end(event.call, self._course.deliver(event.at, event.size))
            return
        self._left[event.call] = event.size
        target = self._began[event.call] + self._load.target
        self._link.add(event.call, event.size, _UNBOUNDED, target)
        self._take_turns(event.at)

    def _take_turns(self, now: float) -> None:
        for part in self._link.next_chunks(now):
            there = self._course.deliver(now, part.size)
            self._left[part.response] -= part.size
            if not self._left[part.response]:
                self._end(part.response, there)
        turn = self._link.next_send_time()
        if turn is not None and turn < self._turn_at:
            self._turn_at = turn
            self._course.plan(turn, _Step.TURN)

    def _end(self, call: int, there: float) -> None:
        self._long.append(there - self._began.pop(call))
