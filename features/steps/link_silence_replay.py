"""Replays calls of one proxy on its links to agents, in virtual time, with losses of machines.

Each link has one stream in each direction that delivers in order. A lost packet is sent again when
a later one arrives, or else after a timer that doubles, as TCP does.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from limelever.proxy.link_silence import LinkSilence, StepKind

ONE_WAY_SECONDS = 0.008
RESEND_SECONDS = 0.232
"""Time until a single unacknowledged packet is sent again: two round trips and 200 ms."""


@dataclass(eq=False)
class Packet:
    deliver: Callable[[], None]
    arrived: bool = False


@dataclass
class Stream:
    """One direction of a link; packets not yet delivered, oldest first."""

    waiting: list[Packet] = field(default_factory=list)


class Replay:
    """Runs a ``LinkSilence`` and stand-ins for its agents, links 1 to ``links``."""

    def __init__(self, links: int, calls_per_s: float, service: float, seed: int = 1) -> None:
        self.silence = LinkSilence()
        self.random = random.Random(seed)
        self.now = 0.0
        self.links = links
        self.interval = 1.0 / calls_per_s
        self.service = service
        self.loss = 0.0
        self.probe_answer_wait = 0.0
        self.vanished: set[int] = set()
        self.vanished_at = 0.0
        self.calls = 0
        self.calls_at_suspect = 0
        self.open_calls: Counter[int] = Counter()
        self.probes: Counter[int] = Counter()
        self.lost_since: dict[int, float] = {}
        self.suspected_at: dict[int, list[float]] = {}
        self.cleared: Counter[int] = Counter()
        self._streams: dict[tuple[int, bool], Stream] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + seconds, next(self._order), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            deadline = self.silence.next_deadline()
            queued = self._queue[0][0] if self._queue else end
            if min(end, queued if deadline is None else min(queued, deadline)) >= end:
                self.now = end
                return
            if deadline is not None and deadline <= queued:
                self.now = max(self.now, deadline)
                self._check()
            else:
                self.now, _, action = heapq.heappop(self._queue)
                action()

    def start_calls(self) -> None:
        self._call()
        self.after(self.interval, self.start_calls)

    def vanish(self, links: set[int]) -> None:
        self.vanished = links
        self.vanished_at = self.now
        for link in links:
            if self.open_calls[link]:
                self.lost_since[link] = self.silence._watched[link].silent_since

    def come_back(self) -> None:
        """Close the links, which the machines that have started again know nothing of."""
        for link in self.vanished:
            self.silence.closed(link)
            del self.open_calls[link]
            for direction in (False, True):
                self._streams.pop((link, direction), None)
        self.vanished = set()

    def _call(self) -> None:
        known = range(1, self.links + 1)
        usable = [link for link in known if not self.silence.is_suspect(link)]
        link = self.random.choice(usable)
        self.calls += 1
        if link in self.vanished:
            self.lost_since.setdefault(link, self.now)
        self.silence.call_sent(link, self.now, was_idle=not self.open_calls[link])
        self.open_calls[link] += 1
        self._send(link, False, lambda: self.after(self.service, lambda: self._answer(link)))

    def _answer(self, link: int) -> None:
        def ended() -> None:
            self.open_calls[link] -= 1
            if self.silence.is_suspect(link):
                self.calls_at_suspect += 1
            self._hear(link)

        self._send(link, True, ended)

    def _check(self) -> None:
        busy = {link for link, calls in self.open_calls.items() if calls}
        for step in self.silence.check(busy, self.now):
            if step.kind is StepKind.SUSPECT:
                self.suspected_at.setdefault(step.connection, []).append(self.now)
                continue
            self.probes[step.connection] += 1
            self._probe(step.connection)

    def _probe(self, link: int) -> None:
        wait = self.random.uniform(0.0, self.probe_answer_wait)
        hear = lambda: self._hear(link)  # noqa: E731
        answer = lambda: self.after(wait, lambda: self._send(link, True, hear))  # noqa: E731
        self._send(link, False, answer)

    def _hear(self, link: int) -> None:
        self.cleared[link] += self.silence.heard(link, self.now)

    def _send(self, link: int, to_proxy: bool, deliver: Callable[[], None]) -> None:
        stream = self._streams.setdefault((link, to_proxy), Stream())
        packet = Packet(deliver)
        stream.waiting.append(packet)
        self._transmit(link, stream, packet, RESEND_SECONDS)

    def _transmit(self, link: int, stream: Stream, packet: Packet, timer: float) -> None:
        if packet.arrived or link in self.vanished:
            return
        if self.random.random() >= self.loss:
            self.after(ONE_WAY_SECONDS, lambda: self._arrive(link, stream, packet))
        self.after(timer, lambda: self._transmit(link, stream, packet, 2 * timer))

    def _arrive(self, link: int, stream: Stream, packet: Packet) -> None:
        if packet.arrived or link in self.vanished:
            return
        packet.arrived = True
        for earlier in stream.waiting[: stream.waiting.index(packet)]:
            if not earlier.arrived:
                resend = lambda p=earlier: self._transmit(link, stream, p, RESEND_SECONDS)  # noqa: E731
                self.after(ONE_WAY_SECONDS, resend)
        while stream.waiting and stream.waiting[0].arrived:
            stream.waiting.pop(0).deliver()
