"""The tenants of a configuration, as the proxy looks them up by their callers' keys."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from limelever.protocol.config_pb2 import RESOURCE_KIND_TENANT, Tenant, VersionedResource
from limelever.protocol.keys import Key


class TenantEntry(Struct, frozen=True):
    """A tenant; ``rate`` in requests a second over all proxies, 0 for no limit.

    ``burst`` are requests above that rate. ``priority`` is 0 for none, 1 for the most urgent.
    """

    name: str
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0


class TenantTable(Struct, frozen=True):
    """Tenants by name, and by the SHA-256 of each of their keys."""

    by_name: Mapping[str, TenantEntry] = {}
    by_digest: Mapping[bytes, TenantEntry] = {}

    def __bool__(self) -> bool:
        return bool(self.by_name)

    def priorities(self) -> frozenset[int]:
        """Return the priorities that tenants have."""
        return frozenset(entry.priority for entry in self.by_name.values() if entry.priority)


NO_TENANTS = TenantTable()


def build_tenant_table(tenants: Iterable[Tenant]) -> TenantTable:
    """Return the table of all tenants of a configuration."""
    return _with(NO_TENANTS, frozenset(), tenants)


def advance_tenant_table(
    former: TenantTable, put: Iterable[VersionedResource], removed: Iterable[Key]
) -> TenantTable:
    """Return the table after a change; the former one itself where no tenant is in it.

    A key that has moved to another tenant in the change is found under that one.
    """
    tenants = [each.resource.tenant for each in put if each.resource.HasField("tenant")]
    gone = {key.name for key in removed if key.kind == RESOURCE_KIND_TENANT}
    replaced = frozenset(gone.union(tenant.name for tenant in tenants))
    return _with(former, replaced, tenants) if replaced else former


def _with(former: TenantTable, replaced: frozenset[str], put: Iterable[Tenant]) -> TenantTable:
    by_name = {name: entry for name, entry in former.by_name.items() if name not in replaced}
    by_digest = {
        digest: entry for digest, entry in former.by_digest.items() if entry.name not in replaced
    }
    for tenant in put:
        entry = TenantEntry(tenant.name, tenant.priority, tenant.rate_per_s, tenant.burst)
        by_name[tenant.name] = entry
        for digest in tenant.key_digests:
            by_digest[digest] = entry
    return TenantTable(by_name, by_digest)
