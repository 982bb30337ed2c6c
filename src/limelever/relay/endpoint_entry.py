"""One endpoint as a relay knows it, and which of two notions of it is the newer one."""

from __future__ import annotations

from msgspec import Struct

from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    ENDPOINT_STATE_READY,
    Endpoint,
    EndpointState,
)

OWN = ""
"""Origin of the endpoints whose agents hold their lease at this relay."""


class EndpointName(Struct, frozen=True, order=True):
    """Names one back end instance of a service."""

    service: str
    instance: str

    @classmethod
    def of(cls, endpoint: Endpoint) -> EndpointName:
        """Return the name of ``endpoint``."""
        return cls(endpoint.service, endpoint.instance)


class Rank(Struct, frozen=True, order=True):
    """Orders notions of one endpoint: the newer wins, and among equals the worse state."""

    incarnation: int
    sequence: int
    state: int

    @classmethod
    def of(cls, endpoint: Endpoint) -> Rank:
        """Return the rank of ``endpoint``."""
        return cls(endpoint.incarnation, endpoint.sequence, endpoint.state)


class Entry(Struct, frozen=True):
    """An endpoint, or the tombstone of one that is gone.

    ``origin`` is the relay that holds its lease (``OWN`` for this one). ``expires_at``
    (seconds, monotonic) is when a lease, the grace of a lost relay or a tombstone ends.
    ``drained`` is sticky for an incarnation. ``change`` numbers changes of own endpoints.
    """

    endpoint: Endpoint
    origin: str
    expires_at: float | None
    drained: bool = False
    change: int = 0

    @property
    def gone(self) -> bool:
        """Whether this is a tombstone."""
        return self.endpoint.state == ENDPOINT_STATE_GONE


def as_stored(endpoint: Endpoint, state: EndpointState.ValueType) -> Endpoint:
    """Return a copy with ``state`` and without the reported load, which is not fanned out."""
    stored = Endpoint()
    stored.CopyFrom(endpoint)
    stored.state = state
    stored.in_flight = 0
    return stored


def is_visible_change(held: Endpoint | None, offered: Endpoint) -> bool:
    """Return whether proxies and peers need to hear of ``offered``; a sequence alone does not."""
    if held is None:
        return offered.state != ENDPOINT_STATE_GONE
    return _visible(held) != _visible(offered)


def _visible(endpoint: Endpoint) -> tuple[int, int, str, int, int, str, str]:
    return (
        endpoint.incarnation,
        endpoint.state,
        endpoint.host,
        endpoint.port,
        endpoint.slots,
        endpoint.zone,
        endpoint.version,
    )


def held_back(state: EndpointState.ValueType, drained: bool) -> EndpointState.ValueType:
    """Return ``state``, or draining where an incarnation that drained says it is ready."""
    if drained and state == ENDPOINT_STATE_READY:
        return ENDPOINT_STATE_DRAINING
    return state
