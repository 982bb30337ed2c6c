"""Limit on the memory of the requests that are open over HTTP/2 at one listener.

Each request of a connection has a task and its header list from its head on, whether or not its
body ever comes: the connections' limit alone would let them take any amount of memory.
"""

from __future__ import annotations

from collections.abc import Iterable

from limelever.common.errors import ErrorKind, Failure
from limelever.transport.body_reservation import RETRY_AFTER_SECONDS

NO_MEMORY = Failure(
    ErrorKind.OVERLOADED,
    "too many requests are open over HTTP/2",
    retry_after=RETRY_AFTER_SECONDS,
)
"""Why a request that has no room isn't run."""

DEFAULT_LIMIT_BYTES = 24_000_000
"""Some 1,900 requests with few headers; a proxy answers most within milliseconds."""

_REQUEST_BYTES = 12_000
"""Memory of a request's task and stream."""

_FIELD_BYTES = 180
"""Memory of a header field besides its text: objects and their places in lists."""


def memory_of(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return roughly how many bytes a request with these headers takes."""
    return _REQUEST_BYTES + sum(_FIELD_BYTES + len(name) + len(value) for name, value in headers)


class RequestMemory:
    """Counts the memory of a listener's open requests, in bytes."""

    def __init__(self, limit: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit = limit
        self._used = 0

    def take(self, size: int) -> bool:
        """Count a request of this size, unless it is over the limit; the first one never is."""
        if self._used and self._used + size > self._limit:
            return False
        self._used += size
        return True

    def release(self, size: int) -> None:
        """Count a request as ended."""
        self._used -= size
