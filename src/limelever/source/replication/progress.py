"""A leader's state of each follower, and the rounds that a majority of them has acknowledged."""

from __future__ import annotations

from msgspec import Struct

NEVER = float("-inf")


class Progress(Struct):
    """State of one follower at its leader.

    ``match_index`` is synced at the follower, by its reply in ``match_round``; ``next_index`` is
    sent next, ahead of the replies; ``acked_round`` is the newest round it has acknowledged;
    ``heard_at`` is when it last refused, or replied with all synced that it was sent, or with more
    than before; ``known_since`` is when this leader first sent to it; ``snapshot_due`` is when a
    snapshot may be sent (again). Times in seconds, monotonic.
    """

    next_index: int
    known_since: float = NEVER
    match_index: int = 0
    match_round: int = 0
    acked_round: int = 0
    heard_at: float = NEVER
    snapshot_due: float = NEVER

    def take_success(
        self, match_index: int, round_number: int, now: float, base_index: int
    ) -> None:
        """Record what the follower has synced, by its reply in a round.

        One that follows while its disk syncs nothing isn't heard: it helps to commit nothing.
        ``base_index`` is the last of the leader's snapshot, which it may be installing.
        """
        sent = max(self.next_index - 1, base_index)
        if match_index > self.match_index or match_index >= sent:
            self.heard_at = now
        if match_index >= self.match_index:
            self.match_index = match_index
            self.match_round = max(self.match_round, round_number)
        self.next_index = max(self.next_index, self.match_index + 1)

    def take_refusal(self, hint: int, round_number: int) -> bool:
        """Go back to the last index worth trying; return whether that is behind what was synced.

        Behind it, a refusal of no later round is outdated and is dropped. One of a later round
        means that the follower's disk was rolled back. Its entries must not count for a majority
        any more, and are sent again: if they counted on, each refusal would lead to another.
        """
        behind = hint < self.match_index
        if behind and round_number <= self.match_round:
            return False
        self.match_index = min(self.match_index, hint)
        self.next_index = min(hint, self.next_index - 1) + 1
        return behind


class Rounds:
    """Numbers the leader's rounds of messages and remembers when each began.

    A majority that acknowledged round *r* followed this leader after round *r* began. That proves
    that it was still the leader at that time, without comparing clocks.

    No number is used twice in the life of a process, so that late replies to a former leadership
    don't count, even those of builds that state no term. Replies to a former process are lost with
    its links.
    """

    def __init__(self) -> None:
        self.current = 0
        self.proved = 0
        self.proved_at = NEVER
        self._first = 1
        self._began: dict[int, float] = {}

    def begin_leadership(self, now: float) -> None:
        """Let no earlier round prove anything any more."""
        self._first = self.current + 1
        self.proved = self.current
        self.proved_at = now
        self._began.clear()

    def begin(self, now: float) -> int:
        """Begin the next round and return its number."""
        self.current += 1
        self._began[self.current] = now
        return self.current

    def has_begun(self, round_number: int) -> bool:
        """Return whether a round of this leadership has this number."""
        return self._first <= round_number <= self.current

    def prove(self, round_number: int) -> bool:
        """Record that a majority acknowledged a round; return whether it was not proved before."""
        if round_number <= self.proved:
            return False
        self.proved_at = self._began[round_number]
        for spent in range(self.proved + 1, round_number + 1):
            del self._began[spent]
        self.proved = round_number
        return True
