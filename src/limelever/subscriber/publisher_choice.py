"""Selection of the publisher to dial next, and of the delay until then."""

from __future__ import annotations

import random

from limelever.common.backoff import Backoff, BackoffSettings
from limelever.common.sansio import Address


class PublisherChoice:
    """Selects publishers in round-robin order, beginning with the preferred one.

    The preferred one is the first in the list, which is in the subscriber's zone. With ``spread``
    it is drawn at random, for subscribers without a preference.
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
        """The publisher in use or to be dialled."""
        return self.address(self.index)

    @property
    def away(self) -> bool:
        """Whether a publisher other than the preferred one is in use."""
        return self.index != self.preferred

    @property
    def on_trial(self) -> bool:
        """Whether a change to the current publisher has not succeeded yet."""
        return self._former is not None

    def address(self, index: int) -> Address:
        """Return the address of a publisher by its index in the list."""
        return self._publishers[index]

    def after(self, index: int) -> int:
        """Return the index after ``index``, wrapping around at the end of the list."""
        return (index + 1) % len(self._publishers)

    def change_over(self, index: int) -> None:
        """Change to another publisher; until that succeeds, the former one is the fallback."""
        self._former = self.index
        self.index = index

    def extend(self, publishers: tuple[Address, ...]) -> None:
        """Add publishers to the list."""
        self.replace(tuple(dict.fromkeys((*self._publishers, *publishers))))

    def replace(self, publishers: tuple[Address, ...], preferred: Address | None = None) -> None:
        """Replace the list; the current publisher is kept, and added to it if missing.

        Without ``preferred`` the former preferred one is kept if it is listed.
        """
        current, preferred = self.current, preferred or self.address(self.preferred)
        known = publishers if current in publishers else (*publishers, current)
        self._publishers = known
        self.index = known.index(current)
        self.preferred = known.index(preferred) if preferred in known else self.index
        self._former = None

    def move_on(self) -> None:
        """Advance to the next publisher, or return to the fallback of an unsuccessful change."""
        self.index = self.after(self.index) if self._former is None else self._former
        self._former = None

    def delay(self, retry_after: float = 0.0) -> float:
        """Return how long to wait before the next attempt, in seconds."""
        return self._backoff.next_delay(retry_after)

    def succeeded(self) -> None:
        """Record that the current publisher is usable."""
        self._former = None
        self._backoff.reset()
