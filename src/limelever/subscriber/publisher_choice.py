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
        self._preferred = generator.randrange(len(publishers)) if spread else 0
        self._index = self._preferred
        self._left_for_preferred: int | None = None
        self._backoff = Backoff(backoff, generator)

    @property
    def current(self) -> Address:
        """The publisher to dial."""
        return self._publishers[self._index]

    @property
    def preferred(self) -> Address:
        """The publisher to follow whenever it is there."""
        return self._publishers[self._preferred]

    @property
    def away(self) -> bool:
        """Whether another than the preferred publisher is followed."""
        return self._index != self._preferred

    @property
    def on_trial(self) -> bool:
        """Whether the preferred publisher was returned to and has not yet proved of use."""
        return self._left_for_preferred is not None

    def return_to_preferred(self) -> None:
        """Follow the preferred publisher again; until it proves of use the way back is kept."""
        self._left_for_preferred = self._index
        self._index = self._preferred

    def move_on(self) -> None:
        """Go on to the next publisher, or back to the one left for the preferred."""
        if self._left_for_preferred is not None:
            self._index = self._left_for_preferred
            self._left_for_preferred = None
        else:
            self._index = (self._index + 1) % len(self._publishers)

    def delay(self, retry_after: float = 0.0) -> float:
        """Return how long to wait before the next attempt, in seconds."""
        return self._backoff.next_delay(retry_after)

    def succeeded(self) -> None:
        """Note that the current publisher is of use."""
        self._left_for_preferred = None
        self._backoff.reset()
