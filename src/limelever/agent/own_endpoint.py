"""What an agent tells relays of its own endpoint; each message is newer than the one before."""

from __future__ import annotations

from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_READY,
    Endpoint,
    EndpointState,
    LeaseRenew,
    Register,
)


class OwnEndpoint:
    """The endpoint's state, and the sequence numbers of what is told of it.

    ``endpoint`` names the endpoint; its sequence, state and load are filled in here.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.state: EndpointState.ValueType = ENDPOINT_STATE_READY
        self._endpoint = endpoint

    def take_version(self, version: str) -> None:
        """Name the version of the back end's software from now on."""
        self._endpoint.version = version

    def register(self, in_flight: int) -> Register:
        """Return the message that registers the endpoint whole."""
        endpoint = self._endpoint
        endpoint.sequence += 1
        endpoint.state = self.state
        endpoint.in_flight = in_flight
        return Register(endpoint=endpoint)

    def renew(self, in_flight: int) -> LeaseRenew:
        """Return the message that renews the lease and tells state and load."""
        self._endpoint.sequence += 1
        return LeaseRenew(
            incarnation=self._endpoint.incarnation,
            sequence=self._endpoint.sequence,
            state=self.state,
            in_flight=in_flight,
        )
