"""Outputs of the subscriber that are meant for the core around it, not for the shell."""

from __future__ import annotations

from limelever.common.sansio import Address, Event, Output
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.endpoints_pb2 import CrashNews, EndpointUpdate, LoadUpdate
from limelever.protocol.keys import Key
from limelever.protocol.limits_pb2 import LimitNews
from limelever.subscriber.configuration import ConfigurationSet


class ConfigurationInstalled(Output, frozen=True):
    """A version is in force from now on: swap ``configuration`` in by one assignment.

    ``put`` and ``removed`` are what differs from the set installed before.
    """

    version: int
    configuration: ConfigurationSet
    put: tuple[VersionedResource, ...] = ()
    removed: tuple[Key, ...] = ()


class VersionConfirmed(Output, frozen=True):
    """The set installed is also right at this later version: nothing in scope changed."""

    version: int


class FreshnessProved(Output, frozen=True):
    """The set installed was current at time ``at`` (seconds, monotonic)."""

    at: float


class EndpointsReceived(Output, frozen=True):
    """The publisher, a relay, sent endpoints on the subscription link."""

    update: EndpointUpdate


class LoadsReceived(Output, frozen=True):
    """The publisher, a relay, told loads of endpoints in this process's zone."""

    update: LoadUpdate


class CrashNewsReceived(Output, frozen=True):
    """The publisher, a relay, told of requests under which back ends have ended."""

    news: CrashNews


class LimitNewsReceived(Output, frozen=True):
    """The publisher, a relay, told of tenants near their limits."""

    news: LimitNews


class PublishersReceived(Output, frozen=True):
    """The publisher named all publishers of its kind; the subscriber chooses among them now.

    ``preferred`` is the one for the subscriber's zone, if that is known.
    """

    addresses: tuple[Address, ...]
    preferred: Address | None = None


class PublishersListed(Event, frozen=True):
    """The settings name these publishers now; those known otherwise stay known."""

    addresses: tuple[Address, ...]
