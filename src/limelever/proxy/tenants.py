"""The tenants of a configuration, indexed by name and by API key digest."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from limelever.protocol.config_pb2 import RESOURCE_KIND_TENANT, Tenant, VersionedResource
from limelever.protocol.keys import Key


class TenantEntry(Struct, frozen=True):
    """A tenant.

    ``rate`` is in requests per second over all proxies, 0 for no limit, and ``burst`` the number of
    requests allowed above it. ``priority`` is 1 for the most urgent, 0 for none. Calls of the
    tenant run in ``allowed_regions`` only; empty for any.
    """

    name: str
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[str] = frozenset()


class TenantTable(Struct, frozen=True):
    """Tenants by name, and by the SHA-256 digest of each of their API keys."""

    by_name: Mapping[str, TenantEntry] = {}
    by_digest: Mapping[bytes, TenantEntry] = {}

    def __bool__(self) -> bool:
        return bool(self.by_name)

    def priorities(self) -> frozenset[int]:
        """Return the distinct priorities of the tenants."""
        return frozenset(entry.priority for entry in self.by_name.values() if entry.priority)


NO_TENANTS = TenantTable()


def build_tenant_table(tenants: Iterable[Tenant]) -> TenantTable:
    """Return the table of all tenants of a configuration."""
    return _updated(NO_TENANTS, frozenset(), tenants)


def advance_tenant_table(
    previous: TenantTable, put: Iterable[VersionedResource], removed: Iterable[Key]
) -> TenantTable:
    """Return the table after a change; the same object if no tenant changed.

    A key that moves to another tenant in the change belongs to the new one.
    """
    tenants = [each.resource.tenant for each in put if each.resource.HasField("tenant")]
    removed_names = {key.name for key in removed if key.kind == RESOURCE_KIND_TENANT}
    replaced = frozenset(removed_names.union(tenant.name for tenant in tenants))
    return _updated(previous, replaced, tenants) if replaced else previous


def _updated(previous: TenantTable, replaced: frozenset[str], put: Iterable[Tenant]) -> TenantTable:
    by_name = {name: entry for name, entry in previous.by_name.items() if name not in replaced}
    by_digest = {
        digest: entry for digest, entry in previous.by_digest.items() if entry.name not in replaced
    }
    for tenant in put:
        entry = TenantEntry(
            tenant.name,
            tenant.priority,
            tenant.rate_per_s,
            tenant.burst,
            frozenset(tenant.allowed_regions),
        )
        by_name[tenant.name] = entry
        for digest in tenant.key_digests:
            by_digest[digest] = entry
    return TenantTable(by_name, by_digest)
