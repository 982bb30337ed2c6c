"""Outputs of the subscriber for the core that contains it, and an event that lists publishers."""

from __future__ import annotations

from limelever.common.sansio import Address, Event, Output
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.endpoints_pb2 import (
    CrashNews,
    EndpointUpdate,
    LoadUpdate,
    RunsDepartedStored,
)
from limelever.protocol.keys import Key
from limelever.protocol.limits_pb2 import LimitNews
from limelever.subscriber.configuration import ConfigurationSet


class ConfigurationInstalled(Output, frozen=True):
    """A version is in force: ``configuration`` replaces the former one in a single assignment.

    ``put`` and ``removed`` are the differences from the set that was installed before.
    """

    version: int
    configuration: ConfigurationSet
    put: tuple[VersionedResource, ...] = ()
    removed: tuple[Key, ...] = ()


class VersionConfirmed(Output, frozen=True):
    """The installed set is valid at this later version too: nothing in its scope changed."""

    version: int


class FreshnessProved(Output, frozen=True):
    """The installed set was current at time ``at`` (seconds, monotonic)."""

    at: float


class EndpointsReceived(Output, frozen=True):
    """The relay sent endpoints on the subscription link."""

    update: EndpointUpdate


class LoadsReceived(Output, frozen=True):
    """The relay sent loads of endpoints in this process's zone."""

    update: LoadUpdate


class CrashNewsReceived(Output, frozen=True):
    """The relay sent the requests that were running when back ends crashed."""

    news: CrashNews


class DeparturesStored(Output, frozen=True):
    """The relay has stored these departed runs."""

    stored: RunsDepartedStored


class LimitNewsReceived(Output, frozen=True):
    """The relay sent the usage of tenants that are near their limits."""

    news: LimitNews


class PublishersReceived(Output, frozen=True):
    """The publisher sent the list of publishers from which the subscriber selects.

    ``preferred`` is the one for the subscriber's zone, if known.
    """

    addresses: tuple[Address, ...]
    preferred: Address | None = None


class PublishersListed(Event, frozen=True):
    """The settings list these publishers; those learned in other ways are kept."""

    addresses: tuple[Address, ...]
