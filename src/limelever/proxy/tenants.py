"""The tenants of a configuration, as the proxy looks them up by their callers' keys."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct


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
