"""What calls usually take, over all endpoints: for those of which nothing is known yet."""

from __future__ import annotations

WEIGHT = 0.05
"""Weight of the newest observation in a moving average; about the last forty decide."""

UNKNOWN_SERVICE_TIME = 1.0
"""Seconds, while no endpoint has told its own: all count alike then, whatever the figure."""


class UsualTimes:
    """Moving averages in seconds. An average costs the same however many endpoints there are."""

    def __init__(self) -> None:
        self._service_time = 0.0
        self._by_route: dict[str, float] = {}
        self._latency_by_service: dict[str, float] = {}

    @property
    def service_time(self) -> float:
        """Return how long a call takes without waiting, at any endpoint."""
        return self._service_time or UNKNOWN_SERVICE_TIME

    def of_route(self, route: str) -> float:
        """Return how long a call of a route takes without waiting, 0 where it isn't known."""
        return self._by_route.get(route, 0.0)

    def latency(self, service: str) -> float:
        """Return how long a service's answers take, waiting included, 0 where it isn't known."""
        return self._latency_by_service.get(service, 0.0)

    def observe_service_time(self, seconds: float) -> None:
        """Take what an endpoint told of its calls."""
        self._service_time = _blend(self._service_time, seconds)

    def observe_route(self, route: str, seconds: float) -> None:
        """Take what an endpoint told of its calls of one route."""
        self._by_route[route] = _blend(self._by_route.get(route, 0.0), seconds)

    def observe_latency(self, service: str, seconds: float) -> None:
        """Take how long an answer took."""
        self._latency_by_service[service] = _blend(self.latency(service), seconds)

    def keep_routes(self, routes: frozenset[str]) -> None:
        """Forget routes that are gone."""
        for name in self._by_route.keys() - routes:
            del self._by_route[name]


def _blend(average: float, newest: float) -> float:
    return average + WEIGHT * (newest - average) if average else newest
