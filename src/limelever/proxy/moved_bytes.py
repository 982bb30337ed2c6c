"""How many bytes a call moves, and how long it may wait for its own zone because of them.

Bytes between zones are scarce or dear, time to a call's target is not: the more a call moves, the
more of that time it may spend on an endpoint of its own zone. When a zone is short of slots, the
calls that leave it are so the ones that cost least on the way.
"""

from __future__ import annotations

from limelever.proxy.call_state import Call

SMALL_BYTES = 2 * 1024
LARGE_BYTES = 16 * 1024
"""Body and answer together, up to which a call counts as small and from which on as large."""

SMALL_PART = 0.3
USUAL_PART = 0.7
LARGE_PART = 1.0
"""Parts of the time to its target in which a call may be answered within the own zone.

Less than all of it but for large calls: what is left is for estimates that are wrong.
"""

_WEIGHT = 0.1
"""Weight of the newest answer in the moving average of a route's answers."""


class MovedBytes:
    """The usual size of each route's answers, as the answers so far tell it."""

    def __init__(self) -> None:
        self._by_route: dict[str, float] = {}

    def observe(self, route: str, size: int) -> None:
        """Take the size in bytes of an answer's body."""
        usual = self._by_route.get(route)
        self._by_route[route] = size if usual is None else usual + _WEIGHT * (size - usual)

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget the routes that are gone."""
        for name in self._by_route.keys() - routes:
            del self._by_route[name]

    def local_within(self, call: Call, now: float) -> float:
        """Return the seconds within which an answer from the own zone is good enough.

        The answers of a route not yet known count as neither small nor large.
        """
        if not call.route.target_latency:
            return 0.0
        return (call.target - now) * self._part(call)

    def is_light(self, call: Call) -> bool:
        """Return whether a call with a target is known to move few bytes."""
        return bool(call.route.target_latency) and self._part(call) == SMALL_PART

    def _part(self, call: Call) -> float:
        body = len(call.request.body)
        if body >= LARGE_BYTES:
            return LARGE_PART
        usual = self._by_route.get(call.route.name)
        if usual is None:
            return USUAL_PART
        moved = body + usual
        if moved >= LARGE_BYTES:
            return LARGE_PART
        return SMALL_PART if moved <= SMALL_BYTES else USUAL_PART
