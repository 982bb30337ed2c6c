"""Builds registration and renewal messages of an endpoint, numbered in ascending order."""

from __future__ import annotations

from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_READY,
    Endpoint,
    EndpointState,
    LeaseRenew,
    Register,
)


class EndpointMessages:
    """Holds the endpoint's state and builds messages with increasing sequence numbers.

    ``endpoint`` identifies the endpoint; its sequence, state and load are filled in here.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.state: EndpointState.ValueType = ENDPOINT_STATE_READY
        self._endpoint = endpoint

    def set_version(self, version: str) -> None:
        """Set the version of the back end's software."""
        self._endpoint.version = version

    def set_warm_up(self, left_ms: int) -> bool:
        """Set the remaining warm-up time; return whether the back end has become warm or cold."""
        changed = (left_ms > 0) != (self._endpoint.warm_up_left_ms > 0)
        self._endpoint.warm_up_left_ms = left_ms
        return changed

    def set_limit(self, limit: float | None) -> bool:
        """Set the limit that the instance states, ``None`` if not known; return if it changed."""
        if limit is None or not self.limit_differs(limit):
            return False
        self._endpoint.limit = limit
        return True

    def limit_differs(self, limit: float | None) -> bool:
        """Return whether a limit is another one than was stated; at first that is none."""
        return limit is not None and limit != self._endpoint.limit

    @property
    def leaving(self) -> bool:
        """Return whether the instance has stated that it is leaving."""
        return self._endpoint.leaving

    def set_leaving(self) -> None:
        """Record that the instance has stated that it is leaving."""
        self._endpoint.leaving = True

    def register(self, in_flight: int) -> Register:
        """Return a message that registers the complete endpoint."""
        endpoint = self._endpoint
        endpoint.sequence += 1
        endpoint.state = self.state
        endpoint.in_flight = in_flight
        return Register(endpoint=endpoint)

    def renew(self, in_flight: int) -> LeaseRenew:
        """Return a message that renews the lease and reports state and load."""
        self._endpoint.sequence += 1
        return LeaseRenew(
            incarnation=self._endpoint.incarnation,
            sequence=self._endpoint.sequence,
            state=self.state,
            in_flight=in_flight,
        )
