"""Decides when a link to an agent is suspect: its machine may have vanished without a word.

Load answered: each proxy has a link to each agent, with a call every few seconds, and calls of
300 ms and more. The calls that a proxy sends to a vanished machine until its transport gives up,
after 2 s or more, end with an unknown outcome, and callers can't repeat what may not run twice. A
call's own answer comes too late to tell a slow call from a vanished machine, so a small probe is
sent on a link that has a call in progress and has received nothing for a while. The agent answers
it at once.

Suspicion is advice: it only moves work that may be moved. It ends with the first message that
arrives on the link, and with the link.

A proxy that is cut off, or was held up, finds its links silent all at once. A link therefore counts
as suspect only if at least as many connections were heard since its first probe as links are
silent. All silence counts anew after the proxy itself was late, and when others are heard again
after nearly all links were silent.
"""

from __future__ import annotations

from collections.abc import Container
from enum import Enum, auto

from msgspec import Struct

from limelever.common.sansio import ConnectionId

DEFAULT_SILENCE_SECONDS = 0.55
"""Callers may lose half a second of calls to a vanished machine. A shorter time leaves no room for
a lost probe, or for parts of long answers ahead of the probe's answer, on a slow link."""

PROBES_AT = (0.6, 0.8)
"""When probes are sent, as parts of the silence time; by default after 330 and 440 ms.

Calls of 300 ms end before the first. The second lets the transport resend a lost first one at once,
where a single packet waits 200 ms or more for the resend timer.
"""

HELD_UP_SECONDS = 0.05
"""Lateness of the decision from which the proxy counts as held up or suspended: answers may wait
unread, and its peers may have been out of its reach."""

CUT_OFF_RATIO = 3
"""Silent links for each one heard from which the proxy counts as cut off itself. A proxy with 20
calls a second hears few links in the time of two probes, so fewer silent ones may be by chance."""

CHECK_INTERVAL_SECONDS = 0.025
"""Minimum time between two checks of all links, each of which looks at every waiting link."""


class StepKind(Enum):
    """What a silent link needs: a probe, or to be treated as suspect."""

    PROBE = auto()
    SUSPECT = auto()


class SilenceStep(Struct, frozen=True):
    """One step for a link; ``number`` is that of the probe, from 1 on each link."""

    kind: StepKind
    connection: ConnectionId
    number: int = 0


class _Watch(Struct):
    """A link that may be silent; times in seconds.

    ``silent_since`` is when it last received a message, or was sent a call while idle. ``sent_at``
    is when the last call was sent, ``probed_at`` when the first unanswered probe was.
    """

    silent_since: float
    sent_at: float
    probes: int = 0
    probed_at: float = 0.0
    last_number: int = 0
    suspect: bool = False


class LinkSilence:
    """Tracks the silence of links to agents that answer probes.

    ``silence`` is the time in seconds after which a link that was probed in vain is suspect; 0
    switches the detection off.
    """

    def __init__(self, silence: float = DEFAULT_SILENCE_SECONDS) -> None:
        self._silence = silence
        self._probe_after = tuple(part * silence for part in PROBES_AT)
        self._watched: dict[ConnectionId, _Watch] = {}
        self._heard_at: dict[ConnectionId, float] = {}
        self._check_at: float | None = None
        self._cut_off = False

    @property
    def suspects(self) -> int:
        """The number of suspect links."""
        return sum(watch.suspect for watch in self._watched.values())

    def is_suspect(self, connection: ConnectionId) -> bool:
        """Return whether the link is suspect."""
        watch = self._watched.get(connection)
        return watch is not None and watch.suspect

    def last_heard(self, connection: ConnectionId) -> float | None:
        """Return when a connection last received a message, ``None`` if it received none."""
        return self._heard_at.get(connection)

    def suspect_links(self) -> tuple[ConnectionId, ...]:
        """Return the suspect links."""
        return tuple(link for link, watch in self._watched.items() if watch.suspect)

    def call_sent(self, connection: ConnectionId, now: float, *, was_idle: bool) -> None:
        """Watch a link on which a call was sent, to an agent that answers probes.

        ``was_idle`` tells that the link carried no other call.
        """
        if not self._silence:
            return
        watch = self._watched.get(connection)
        if watch is not None:
            if was_idle and not watch.suspect and watch.silent_since >= watch.sent_at:
                self._restart(watch, now)
            watch.sent_at = now
            return
        self._watched[connection] = _Watch(now, now)
        due = now + self._probe_after[0]
        self._check_at = due if self._check_at is None else min(self._check_at, due)

    def heard(self, connection: ConnectionId, now: float) -> bool:
        """Record a message on any connection; return whether this ended a suspicion."""
        if not self._silence:
            return False
        self._heard_at[connection] = now
        watch = self._watched.get(connection)
        if watch is None:
            return False
        was_suspect = watch.suspect
        self._restart(watch, now)
        if was_suspect:
            self._schedule(now)
        return was_suspect

    def closed(self, connection: ConnectionId) -> bool:
        """Forget a closed connection; return whether it was a suspect link."""
        self._heard_at.pop(connection, None)
        watch = self._watched.pop(connection, None)
        return watch is not None and watch.suspect

    def next_deadline(self) -> float | None:
        """Return when ``check`` must be called next, or ``None``."""
        return self._check_at

    def check(self, busy: Container[ConnectionId], now: float) -> list[SilenceStep]:
        """Return the steps that are due; ``busy`` are the links with calls in progress.

        A link without calls is no longer watched, unless it is suspect.
        """
        due = self._check_at
        if due is None or now < due:
            return []
        self._drop_idle(busy)
        if now - due > HELD_UP_SECONDS:
            self._restart_all(now)
        waiting = [
            (connection, watch)
            for connection, watch in self._watched.items()
            if not watch.suspect and now >= self._due_at(watch)
        ]
        over = [each for each in waiting if self._is_probed(each[1])]
        steps = [self._probe(*each, now) for each in waiting if not self._is_probed(each[1])]
        steps += self._suspect(over, now)
        self._schedule(now)
        return steps

    def _drop_idle(self, busy: Container[ConnectionId]) -> None:
        for connection, watch in tuple(self._watched.items()):
            if not watch.suspect and connection not in busy:
                del self._watched[connection]

    def _is_probed(self, watch: _Watch) -> bool:
        return watch.probes == len(self._probe_after)

    def _probe(self, connection: ConnectionId, watch: _Watch, now: float) -> SilenceStep:
        if not watch.probes:
            watch.probed_at = now
        watch.probes += 1
        watch.last_number += 1
        return SilenceStep(StepKind.PROBE, connection, watch.last_number)

    def _suspect(self, due: list[tuple[ConnectionId, _Watch]], now: float) -> list[SilenceStep]:
        """Return the links that become suspect of those whose time is over.

        Few silent links are those of vanished machines; most of them are silent if this proxy
        is cut off. A single one waits until anything else is heard.
        """
        if not due:
            return []
        first_probe_at = min(watch.probed_at for _, watch in due)
        heard = sum(at > first_probe_at for at in self._heard_at.values())
        silent = sum(self._is_probed(each) and not each.suspect for each in self._watched.values())
        if heard < silent:
            self._cut_off = self._cut_off or silent > max(1, heard * CUT_OFF_RATIO)
            return []
        if self._cut_off:
            self._cut_off = False
            self._restart_all(now)
            return []
        for _, watch in due:
            watch.suspect = True
        return [SilenceStep(StepKind.SUSPECT, connection) for connection, _ in due]

    def _due_at(self, watch: _Watch) -> float:
        if self._is_probed(watch):
            return watch.silent_since + self._silence
        return watch.silent_since + self._probe_after[watch.probes]

    def _schedule(self, now: float) -> None:
        due = [self._due_at(watch) for watch in self._watched.values() if not watch.suspect]
        earliest = min(due, default=None)
        if earliest is not None:
            earliest = max(earliest, now + CHECK_INTERVAL_SECONDS)
        self._check_at = earliest

    def _restart_all(self, now: float) -> None:
        for watch in self._watched.values():
            if not watch.suspect:
                self._restart(watch, now)

    @staticmethod
    def _restart(watch: _Watch, now: float) -> None:
        watch.silent_since = now
        watch.probes = 0
        watch.suspect = False
