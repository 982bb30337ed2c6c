"""Which publisher to dial next, and when."""

from __future__ import annotations

import random

from limelever.common.backoff import Backoff, BackoffSettings
from limelever.common.sansio import Address


class PublisherChoice:
    """Goes round the publishers, from the preferred one on.

    That is the first listed, as its zone is the own; ``spread`` draws one at random, for
    subscribers to whom all are alike.
    """

    def __init__(
        self,
        publishers: tuple[Address, ...],
        backoff: BackoffSettings,
        generator: random.Random,
        spread: bool,
    ) -> None:
        self._publishers = publishers
        self.preferred = generator.randrange(len(publishers)) if spread else 0
        self.index = self.preferred
        self._former: int | None = None
        self._backoff = Backoff(backoff, generator)

    @property
    def current(self) -> Address:
        """The publisher that is followed or to be dialled."""
        return self.address(self.index)

    @property
    def away(self) -> bool:
        """Whether another than the preferred publisher is followed."""
        return self.index != self.preferred

    @property
    def on_trial(self) -> bool:
        """Whether the publisher was changed over to and has not yet proved of use."""
        return self._former is not None

    def address(self, index: int) -> Address:
        """Return the address of a publisher by its place in the list."""
        return self._publishers[index]

    def after(self, index: int) -> int:
        """Return the place after ``index``; the first follows on the last."""
        return (index + 1) % len(self._publishers)

    def change_over(self, index: int) -> None:
        """Follow another publisher; until it proves of use the way back is kept."""
        self._former = self.index
        self.index = index

    def extend(self, publishers: tuple[Address, ...]) -> None:
        """Know these publishers besides."""
        self.replace(tuple(dict.fromkeys((*self._publishers, *publishers))))

    def replace(self, publishers: tuple[Address, ...], preferred: Address | None = None) -> None:
        """Take a new list; the publisher followed now stays, for as long as it is of use.

        Without a ``preferred`` one the former stays that.
        """
        current, preferred = self.current, preferred or self.address(self.preferred)
        known = publishers if current in publishers else (*publishers, current)
        self._publishers = known
        self.index = known.index(current)
        self.preferred = known.index(preferred) if preferred in known else self.index
        self._former = None

    def move_on(self) -> None:
        """Go on to the next publisher, or back to the one left for this one."""
        self.index = self.after(self.index) if self._former is None else self._former
        self._former = None

    def delay(self, retry_after: float = 0.0) -> float:
        """Return how long to wait before the next attempt, in seconds."""
        return self._backoff.next_delay(retry_after)

    def succeeded(self) -> None:
        """Note that the current publisher is of use."""
        self._former = None
        self._backoff.reset()
