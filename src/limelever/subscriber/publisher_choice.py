"""Which publisher to dial next, and when."""

from __future__ import annotations

import random

from limelever.common.backoff import Backoff, BackoffSettings
from limelever.common.sansio import Address


class PublisherChoice:
    """Goes round the publishers from a random start, so that subscribers spread over them."""

    def __init__(
        self,
        publishers: tuple[Address, ...],
        backoff: BackoffSettings,
        generator: random.Random,
    ) -> None:
        self._publishers = publishers
        self._index = generator.randrange(len(publishers))
        self._backoff = Backoff(backoff, generator)

    @property
    def current(self) -> Address:
        """The publisher to dial."""
        return self._publishers[self._index]

    def move_on(self) -> None:
        """Go on to the next publisher."""
        self._index = (self._index + 1) % len(self._publishers)

    def delay(self, retry_after: float = 0.0) -> float:
        """Return how long to wait before the next attempt, in seconds."""
        return self._backoff.next_delay(retry_after)

    def succeeded(self) -> None:
        """Note that the current publisher is of use."""
        self._backoff.reset()
