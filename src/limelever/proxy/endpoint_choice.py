"""Chooses the endpoint of an attempt: by rules, by load, and by the state of the link to it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from msgspec import Struct

from limelever.proxy.agent_links import AgentLinks
from limelever.proxy.allowed_regions import RegionFilter
from limelever.proxy.balancer import Balancer
from limelever.proxy.call_state import Call
from limelever.proxy.endpoints import EndpointEntry, EndpointKey, EndpointView
from limelever.proxy.link_silence import LinkSilence
from limelever.proxy.reported_suspects import ReportedSuspects
from limelever.proxy.transfer_size import TransferSizes
from limelever.proxy.version_gate import VersionGate
from limelever.proxy.zone_drains import ZoneDrainFilter


class Candidates(NamedTuple):
    """The endpoints of a service, after each rule that leaves some of them out."""

    known: Sequence[EndpointEntry]
    allowed: Sequence[EndpointEntry]
    undrained: Sequence[EndpointEntry]
    usable: Sequence[EndpointEntry]


class EndpointRules(Struct, frozen=True):
    """The rules that leave out endpoints before any choice."""

    view: EndpointView
    drains: ZoneDrainFilter
    gate: VersionGate
    regions: RegionFilter

    def candidates(self, call: Call, now: float) -> Candidates:
        """Return the endpoints that the rules for regions, drains and rollouts leave to a call."""
        service = call.destination.service
        known = self.view.usable(service, now)
        allowed = self.regions.allowed(service, known, call.allowed_regions)
        undrained = self.drains.eligible(service, allowed, call.refused_zones)
        return Candidates(known, allowed, undrained, self.gate.eligible(service, undrained))


class ResponsiveLinks(Struct, frozen=True):
    """What is known of the links to endpoints."""

    links: AgentLinks
    silence: LinkSilence
    reported: ReportedSuspects

    def is_backing_off(self, entry: EndpointEntry, now: float) -> bool:
        """Return whether the endpoint's address is in backoff after a failed dial."""
        return self.links.is_backing_off(entry.address, now)

    def is_responsive(self, entry: EndpointEntry, now: float) -> bool:
        """Return whether the link is neither overdue nor suspect, nor reported as silent."""
        if self.links.is_dial_overdue(entry.address, now):
            return False
        connection = self.links.connection_of(entry.address)
        if connection is None:
            return not self.reported.includes(entry.key, None, now)
        if self.silence.is_suspect(connection):
            return False
        return not self.reported.includes(entry.key, self.silence.last_heard(connection), now)


class EndpointChooser:
    """Chooses among the endpoints that the rules leave."""

    def __init__(
        self,
        rules: EndpointRules,
        balancer: Balancer,
        links: ResponsiveLinks,
        transfer_sizes: TransferSizes,
    ) -> None:
        self._rules = rules
        self._balancer = balancer
        self._links = links
        self._transfer_sizes = transfer_sizes

    def candidates(self, call: Call, now: float) -> Candidates:
        """Return the endpoints that the rules leave to a call."""
        return self._rules.candidates(call, now)

    def pick(self, call: Call, usable: Sequence[EndpointEntry], now: float) -> EndpointEntry | None:
        """Return an untried endpoint, preferably one whose link is neither overdue nor suspect."""
        local_budget = self._transfer_sizes.local_time_limit(call, now)
        small = self._transfer_sizes.is_small(call)
        spill = self._transfer_sizes.region_spill(call, now)
        call.spans_regions = self._balancer.spans_regions(usable)
        excluded: set[EndpointKey] = set(call.tried)
        last_resort: EndpointEntry | None = None
        while True:
            entry = self._balancer.pick(
                usable,
                now,
                excluded,
                call.destination.slow_start,
                local_budget,
                call.route.name,
                small,
                spill,
            )
            if entry is None:
                return last_resort
            excluded.add(entry.key)
            if self._links.is_backing_off(entry, now):
                continue
            if self._links.is_responsive(entry, now):
                return entry
            last_resort = last_resort or entry

    def has_responsive_alternative(self, call: Call, now: float) -> bool:
        """Return whether an untried endpoint with a responsive link may take the call."""
        return any(
            entry.key not in call.tried
            and not self._links.is_backing_off(entry, now)
            and self._links.is_responsive(entry, now)
            for entry in self._rules.candidates(call, now).usable
        )

    def has_room(self, call: Call, now: float) -> bool:
        """Return whether the limit of an untried endpoint has room for a call of this proxy."""
        return any(
            entry.key not in call.tried and not self._balancer.limited.wait(entry.run, now)
            for entry in self._rules.candidates(call, now).usable
        )
