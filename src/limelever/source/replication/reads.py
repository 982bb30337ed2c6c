"""Read index: what had been committed when a read began, proved by a round of echoes."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

# Called with the index that the reader must have applied, or with None when nothing was proved.
ReadAnswer = Callable[[int | None], None]


class _Flight(Struct):
    round_number: int
    answers: list[ReadAnswer]


class LeaderReads:
    """Reads at the leader; those that come while a round is out share the next one."""

    def __init__(self) -> None:
        self._waiting: list[ReadAnswer] = []
        self._flight: _Flight | None = None

    @property
    def wants_round(self) -> bool:
        """Return whether a round should begin for reads that wait."""
        return bool(self._waiting) and self._flight is None

    def add(self, answer: ReadAnswer) -> None:
        """Take a read; it is proved by a round that begins after this call."""
        self._waiting.append(answer)

    def round_began(self, round_number: int) -> None:
        """Let the reads that wait be proved by this round."""
        if self._flight is None and self._waiting:
            self._flight = _Flight(round_number, self._waiting)
            self._waiting = []

    def round_proved(self, proved_round: int, commit_index: int) -> None:
        """Answer the reads whose round a majority has echoed."""
        flight = self._flight
        if flight is None or flight.round_number > proved_round:
            return
        self._flight = None
        for answer in flight.answers:
            answer(commit_index)

    def fail_all(self) -> None:
        """Answer every read that nothing was proved."""
        answers = self._waiting + (self._flight.answers if self._flight else [])
        self._waiting, self._flight = [], None
        for answer in answers:
            answer(None)
