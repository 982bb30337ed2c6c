"""Average latencies over all endpoints, used for endpoints that have not reported their own."""

from __future__ import annotations

SMOOTHING_FACTOR = 0.05
"""Weight of the newest observation in a moving average."""

DEFAULT_SERVICE_TIME_SECONDS = 1.0
"""Used until an endpoint reports its own; any value makes all endpoints compare as equal."""


class LatencyAverages:
    """Exponential moving averages in seconds."""

    def __init__(self) -> None:
        self._service_time = 0.0
        self._by_route: dict[str, float] = {}
        self._latency_by_service: dict[str, float] = {}

    @property
    def service_time(self) -> float:
        """Return how long a call takes at any endpoint, without queueing."""
        return self._service_time or DEFAULT_SERVICE_TIME_SECONDS

    def route_time(self, route: str) -> float:
        """Return how long a call of a route takes without queueing, 0 if unknown."""
        return self._by_route.get(route, 0.0)

    def latency(self, service: str) -> float:
        """Return how long a service's answers take including queueing, 0 if unknown."""
        return self._latency_by_service.get(service, 0.0)

    def observe_service_time(self, seconds: float) -> None:
        """Record the service time that an endpoint reported."""
        self._service_time = _moving_average(self._service_time, seconds)

    def observe_route(self, route: str, seconds: float) -> None:
        """Record the service time that an endpoint reported for a route."""
        self._by_route[route] = _moving_average(self._by_route.get(route, 0.0), seconds)

    def observe_latency(self, service: str, seconds: float) -> None:
        """Record how long an answer took."""
        self._latency_by_service[service] = _moving_average(self.latency(service), seconds)

    def keep_only_routes(self, routes: frozenset[str]) -> None:
        """Drop all routes but these."""
        for name in self._by_route.keys() - routes:
            del self._by_route[name]


def _moving_average(average: float, newest: float) -> float:
    return average + SMOOTHING_FACTOR * (newest - average) if average else newest
