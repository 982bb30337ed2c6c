"""In which order and how fast long answers leave on one machine's link, and which find room there.

Load: answers of some 100 kB, each of which holds a link of a few Mbit/s for a tenth of a second,
beside lookups with a third of a second to live, with more asked for than the link takes. Pushed at
once, each answer delays whatever is sent behind it by all that is still on its way, and once more
is asked for than the link takes, every answer is late.

Long answers leave in parts, no faster than the link's rate, so that anything short waits for two
parts at most; the one whose target is first goes first. A call whose answer would come too late is
refused before it runs. The limits are what callers told: their target, and their deadline where
the target can't be met even by an idle link.
"""

from __future__ import annotations

import math

from msgspec import Struct

from limelever.agent.answer_sizes import AnswerSizes

SHORT_BYTES = 8 * 1024
"""Answers up to this size leave at once: their head and the link's own costs are a good part."""

PART_SECONDS = 0.016
"""Time of one part on the link: a small part of what the shortest lookups have to live."""

AHEAD_SECONDS = 0.016
"""Time for which the link may have work in hand, so that a timer that is late leaves it busy."""

LEAST_PART_BYTES = 4096
"""Smallest part, whatever the link: each costs a message."""

NO_ROOM = "the link has no room for the answer in time"
"""Reason of a refusal for the link, by which logs tell it from one for want of a slot."""

USED_PART = 0.9
"""Part of the link that answers may take: frames cost some hundredths, and calls and news of the
same machine leave there as well."""


class Part(Struct, frozen=True):
    """Bytes of an answer that are to be sent now."""

    answer: int
    size: int


class AnswerTimes(Struct, frozen=True):
    """What a call asks of the link: monotonic seconds, and its usual time at the back end."""

    target: float
    deadline: float
    service_time: float


class _Leaving(Struct):
    """An answer on its way out: bytes not yet sent, and those of them that its proxy takes."""

    left: int
    allowed: int
    due: float


class AnswerLink:
    """Answers by the number of their call; times in seconds, ``rate`` in bytes a second.

    A ``rate`` of 0 stands for a link whose rate is not known: then nothing waits or is refused.
    """

    def __init__(self, rate: int = 0) -> None:
        self._rate = rate * USED_PART
        self._part = max(LEAST_PART_BYTES, int(self._rate * PART_SECONDS))
        self._sizes = AnswerSizes()
        self._leaving: dict[int, _Leaving] = {}
        self._expected: dict[int, float] = {}
        self._free_at = -math.inf

    def is_paced(self, size: int) -> bool:
        """Return whether an answer of ``size`` bytes leaves in parts."""
        return bool(self._rate) and size > SHORT_BYTES

    # --- what leaves ------------------------------------------------------------------------

    def sent_at_once(self, size: int, now: float) -> None:
        """Take note of bytes that left without waiting for their turn."""
        if self._rate:
            self._free_at = max(self._free_at, now) + size / self._rate

    def add(self, answer: int, size: int, allowed: int, target: float) -> None:
        """Take in an answer of which its proxy takes ``allowed`` bytes for now."""
        self._leaving[answer] = _Leaving(size, allowed, target)

    def allow(self, answer: int, size: int) -> None:
        """Take note that a proxy takes so many more bytes of an answer."""
        leaving = self._leaving.get(answer)
        if leaving is not None:
            leaving.allowed += size

    def remove(self, answer: int) -> None:
        """Forget an answer that nobody wants any more."""
        self._leaving.pop(answer, None)

    def parts(self, now: float) -> list[Part]:
        """Return what is to be sent now."""
        parts: list[Part] = []
        while self._has_turn(now) and (answer := self._first(now)) is not None:
            leaving = self._leaving[answer]
            size = min(self._part, leaving.left, leaving.allowed)
            leaving.left -= size
            leaving.allowed -= size
            self.sent_at_once(size, now)
            parts.append(Part(answer, size))
            if not leaving.left:
                del self._leaving[answer]
        return parts

    def next_turn(self) -> float | None:
        """Return when the next part may leave, ``None`` if none waits for its turn."""
        if not any(leaving.allowed for leaving in self._leaving.values()):
            return None
        return self._free_at - AHEAD_SECONDS

    def _has_turn(self, now: float) -> bool:
        return now >= self._free_at - AHEAD_SECONDS

    def _first(self, now: float) -> int | None:
        """Return the answer that goes next: in time before late ones, then by its target."""
        able = [(each.due <= now, each.due, n) for n, each in self._leaving.items() if each.allowed]
        return min(able)[2] if able else None

    # --- what finds room --------------------------------------------------------------------

    def observe(self, group: str, size: int) -> None:
        """Take the size of an answer to a call of a group."""
        if self._rate:
            self._sizes.observe(group, size)

    def expect(self, call: int, group: str) -> None:
        """Keep room for the answer of a call that was taken in."""
        usual = self._sizes.usual(group)
        if self.is_paced(int(usual)):
            self._expected[call] = usual

    def settle(self, call: int) -> None:
        """Keep no more room for a call: its answer is here, or none will come."""
        self._expected.pop(call, None)

    def wait(self, now: float) -> float:
        """Return for how long the link has work, with the answers that are expected."""
        if not self._rate:
            return 0.0
        waiting = sum(leaving.left for leaving in self._leaving.values())
        known = (waiting + sum(self._expected.values())) / self._rate
        return known + max(0.0, self._free_at - now)

    def too_late_by(self, group: str, times: AnswerTimes, now: float) -> float:
        """Return by how much a further call's answer would be too late, 0 if it has room.

        The link goes on while the call runs. One that would be late on an idle link as well is
        taken only where it holds up nobody.
        """
        usual = self._sizes.usual(group)
        if not self.is_paced(int(usual)):
            return 0.0
        alone = now + times.service_time + usual / self._rate
        held_up = max(0.0, self.wait(now) - times.service_time)
        if alone > times.target:
            return held_up
        return max(0.0, alone + held_up - min(times.target, times.deadline))
