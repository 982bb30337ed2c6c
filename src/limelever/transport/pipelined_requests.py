"""A limit on the requests of a listener that are in progress behind others of their connections.

Decides, under clients that send many requests without waiting for responses, how many of them are
in progress. All requests pass the same queues, so a caller that sends one waits for all that were
begun before it. The oldest request of a connection is always begun; those behind it are once there
is room, or once they are the oldest.
"""

from __future__ import annotations

LIMIT = 256
"""Four clients may each have as many requests in progress as a connection allows."""


class PipelinedRequests:
    """The requests that were begun behind others and have no response yet."""

    def __init__(self, limit: int = LIMIT) -> None:
        self.in_progress = 0
        self._limit = limit

    @property
    def has_room(self) -> bool:
        """Return whether another request may begin behind others."""
        return self.in_progress < self._limit

    def begin(self) -> None:
        """Count a request."""
        self.in_progress += 1

    def end(self) -> None:
        """Count a request no longer."""
        self.in_progress -= 1
