"""Settings of the keeper core and of its clients. Durations are in seconds."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.backoff import BackoffSettings
from limelever.common.sansio import Address


class KeeperSettings(Struct, frozen=True):
    """One keeper of a fixed set.

    ``others`` are the other keepers' addresses. ``claim_lifetime`` is how long a claim or its
    recorded answer is kept; ``rejoin_wait`` must exceed every client's ``claim_window``.
    """

    name: str
    others: tuple[Address, ...]
    claim_lifetime: float = 86400.0
    rejoin_wait: float = 10.0
    poll_interval: float = 0.5
    largest_answer: int = 65536
    claims_limit: int = 1_000_000
    bytes_limit: int = 256 * 1024 * 1024
    compact_from: int = 10_000

    @property
    def quorum(self) -> int:
        """Return how many keepers are a majority of the set."""
        return (len(self.others) + 1) // 2 + 1

    @property
    def copies_needed(self) -> int:
        """Return from how many other keepers to copy after the loss of a disk.

        Every majority that this keeper may have completed with its forgotten vote has
        ``quorum - 1`` members among the others; the copies must intersect each such set.
        """
        return len(self.others) - self.quorum + 2


class KeeperClientSettings(Struct, frozen=True):
    """Addresses of the keepers, and timeouts of a client.

    A claim that has no majority within ``claim_window`` of its start is given up: the safety
    of a keeper's rejoin depends on this limit. Releases and completions are resent every
    ``resend_interval`` for at most ``settle_window``, and a completion is reported within
    ``completion_wait``.
    """

    keepers: tuple[Address, ...]
    claim_window: float = 2.0
    settle_window: float = 10.0
    completion_wait: float = 1.0
    resend_interval: float = 0.25
    backoff: BackoffSettings = BackoffSettings(base=0.1, maximum=2.0)

    @property
    def quorum(self) -> int:
        """Return how many keepers are a majority of the set."""
        return len(self.keepers) // 2 + 1
