"""Which proxies may send how much of a body now: the receiving machine orders its own link.

What has been pushed onto a link is delivered in the order in which it was sent, so that a lookup
waits behind every body on its way. Bodies are asked for in small parts instead, never more at once
than keep the link busy, the one with the fewest bytes left first. Receiver-driven credit as in
Homa (Montazeri et al., SIGCOMM 2018) and pHost (Gao et al., CoNEXT 2015); there is no pacing: the
arrival of a part asks for the next.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from msgspec import Struct

PART_SECONDS = 0.016
"""Time on the link of the part that is asked for at once; a choice: a few round trips."""

PARTS_ASKED = 3
"""Parts on their way at once, of all bodies together; a choice: one travels, one is being asked
for, one is in hand when a sender is slow to answer."""

PARTS_OF_ONE_BODY = 2
"""Parts of one body on their way at once, so that a silent sender leaves room for another."""

LEAST_PART_BYTES = 4096
"""Smallest part, whatever the link: each costs two messages."""

UNPACED_PART_BYTES = 256 * 1024
"""Part where the link's rate isn't known."""

SILENT_SECONDS = 0.25
"""After so long without a byte, what was asked of a sender no longer counts as on its way."""


class Grant(Struct, frozen=True):
    """Bytes of a call's body that its proxy may send besides those asked for before."""

    call: int
    size: int


class _Body(Struct):
    """A body on its way; ``left`` are bytes not yet asked for, ``asked`` those not yet here."""

    left: int
    asked: int = 0
    moved_at: float = -math.inf

    @property
    def missing(self) -> int:
        return self.left + self.asked

    def is_moving(self, now: float) -> bool:
        return self.asked > 0 and now - self.moved_at < SILENT_SECONDS


class BodyCredit:
    """Bodies by the number of their call; times in seconds, ``rate`` in bytes a second.

    A ``rate`` of 0 stands for a link whose rate is not known: then nothing is waited for.
    """

    def __init__(self, rate: int = 0) -> None:
        self._rate = rate
        paced = max(LEAST_PART_BYTES, int(rate * PART_SECONDS))
        self._part = paced if rate else UNPACED_PART_BYTES
        self._by_call: dict[int, _Body] = {}
        self._granted_at = -math.inf

    def expected_time(self, size: int) -> float:
        """Return how long a body would take from now on until it is here whole."""
        if not self._rate:
            return 0.0
        before = sum(body.missing for body in self._by_call.values() if body.missing <= size)
        return (before + size) / self._rate

    def add(self, call: int, size: int) -> None:
        """Take in a body that is to be asked for."""
        self._by_call[call] = _Body(size)

    def holds(self, call: int) -> bool:
        """Return whether the call's body is asked for here."""
        return call in self._by_call

    def arrived(self, call: int, size: int, now: float) -> None:
        """Take note of a part that came; more than was asked for counts as never asked for."""
        body = self._by_call[call]
        body.asked = max(0, body.asked - size)
        body.moved_at = now

    def remove(self, call: int) -> None:
        """Forget a body: it is whole, or its call has ended."""
        self._by_call.pop(call, None)

    def grants(self, now: float) -> list[Grant]:
        """Return what is to be asked for now."""
        self._granted_at = now
        moving = sum(body.asked for body in self._by_call.values() if body.is_moving(now))
        room = self._part * PARTS_ASKED - moving
        granted = []
        for call, body in self._shortest_first():
            size = min(body.left, self._part * PARTS_OF_ONE_BODY - body.asked)
            if size < min(body.left, self._part):
                continue
            if room < min(size, self._part):
                break
            size = min(size, room)
            body.left -= size
            body.asked += size
            body.moved_at = max(body.moved_at, now)
            room -= size
            granted.append(Grant(call, size))
        return granted

    def next_deadline(self) -> float | None:
        """Return when a silent sender's part may be asked of another, if one waits."""
        if not any(body.left for body in self._by_call.values()):
            return None
        silent_at = [b.moved_at + SILENT_SECONDS for b in self._by_call.values() if b.asked]
        return min((at for at in silent_at if at > self._granted_at), default=None)

    def _shortest_first(self) -> Iterable[tuple[int, _Body]]:
        waiting = [(call, body) for call, body in self._by_call.items() if body.left]
        return sorted(waiting, key=lambda item: item[1].missing)
