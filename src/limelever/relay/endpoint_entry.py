"""Endpoint records of a relay, and the order of precedence between two states of an endpoint."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.departed_runs import DepartedRun
from limelever.protocol.endpoints_pb2 import (
    ENDPOINT_STATE_DRAINING,
    ENDPOINT_STATE_GONE,
    ENDPOINT_STATE_READY,
    Endpoint,
    EndpointState,
)

LOCAL_ORIGIN = ""
"""Origin of the endpoints that hold their lease at this relay."""


class EndpointName(Struct, frozen=True, order=True):
    """Identifies an instance of a service."""

    service: str
    instance: str

    @classmethod
    def of(cls, endpoint: Endpoint) -> EndpointName:
        """Return the name of ``endpoint``."""
        return cls(endpoint.service, endpoint.instance)


class Precedence(Struct, frozen=True, order=True):
    """Orders states of one endpoint: the newer wins; of equally new ones gone, then draining."""

    incarnation: int
    sequence: int
    state: int

    @classmethod
    def of(cls, endpoint: Endpoint) -> Precedence:
        """Return the precedence of ``endpoint``."""
        return cls(endpoint.incarnation, endpoint.sequence, endpoint.state)


class EndpointEntry(Struct, frozen=True):
    """An endpoint, or the tombstone of one that is gone.

    ``origin`` names the relay that holds its lease (``LOCAL_ORIGIN``: this one). ``expires_at``
    (seconds, monotonic) is when the lease, the grace period of a disconnected relay or the
    tombstone ends. ``drained`` stays set for the rest of an incarnation. ``local_change`` is the
    sequence number of the last change while the lease was held here.
    """

    endpoint: Endpoint
    origin: str
    expires_at: float | None
    drained: bool = False
    local_change: int = 0

    @property
    def is_tombstone(self) -> bool:
        """Whether this is a tombstone."""
        return self.endpoint.state == ENDPOINT_STATE_GONE


def run_of(endpoint: Endpoint) -> DepartedRun:
    """Return the run beside an endpoint; without an identifier, each endpoint is one."""
    return DepartedRun(endpoint.run or endpoint.instance, endpoint.run_started_ms)


def stored_copy(endpoint: Endpoint, state: EndpointState.ValueType) -> Endpoint:
    """Return a copy with ``state`` and without the reported load, which is not replicated."""
    stored = Endpoint()
    stored.CopyFrom(endpoint)
    stored.state = state
    stored.in_flight = 0
    return stored


def is_visible_change(current: Endpoint | None, update: Endpoint) -> bool:
    """Return whether ``update`` differs in a field that proxies and other relays use."""
    if current is None:
        return update.state != ENDPOINT_STATE_GONE
    return _visible_fields(current) != _visible_fields(update)


def _visible_fields(endpoint: Endpoint) -> tuple[object, ...]:
    return (
        endpoint.incarnation,
        endpoint.state,
        endpoint.host,
        endpoint.port,
        endpoint.slots,
        endpoint.zone,
        endpoint.version,
        endpoint.region,
        endpoint.warm_up_left_ms > 0,
        endpoint.run,
        endpoint.leaving,
        endpoint.HasField("limit"),
        endpoint.limit,
    )


def effective_state(state: EndpointState.ValueType, drained: bool) -> EndpointState.ValueType:
    """Return ``state``, but draining instead of ready for an incarnation that has drained."""
    if drained and state == ENDPOINT_STATE_READY:
        return ENDPOINT_STATE_DRAINING
    return state
