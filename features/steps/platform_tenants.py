"""Tenants of the platform's soak: which keys a configuration holds, by its number and the seed."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass

from platform_traffic import DEADLINE_MS, DOWNLOAD, READ, WRITE, Operator, document_of

OPEN = "open"
"""The kind of requests on a public route."""

STEADY_TENANTS = ("harbour", "quay")
RUSHED = "rushed"
"""The tenant with a limit, which its callers pass."""

RATE, BURST = 1, 1
WARM_UP_SECONDS, WARM_UP_PER_SECOND = 6.0, 2.0
"""At this rate a back end that takes the whole load of a struck fleet would pass the limit."""

WANDERING_KEYS = 3


class TenantPlan:
    """Tenants with steady keys, and keys that are given out, taken away and passed on."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        names = (*STEADY_TENANTS, RUSHED)
        self.steady = {f"steady-key-of-{name}-{seed}": name for name in names}
        self.wandering = [f"wandering-key-{number}-{seed}" for number in range(WANDERING_KEYS)]
        self.unknown = f"unknown-key-{seed}"

    def key_of(self, tenant: str) -> str:
        """Return the key that a tenant always has."""
        return next(key for key, name in self.steady.items() if name == tenant)

    @property
    def all_keys(self) -> tuple[str, ...]:
        return (*self.steady, *self.wandering, self.unknown)

    def holders_at(self, number: int) -> dict[str, str]:
        """Return the tenant of each key that configuration ``number`` holds."""
        draw = random.Random(f"keys-{self._seed}-{number}")
        drawn = {key: draw.choice((None, *STEADY_TENANTS)) for key in self.wandering}
        return {**self.steady, **{key: name for key, name in drawn.items() if name}}

    def holders_until(self, number: int, key: str) -> set[str]:
        """Return the tenants that had a key by any configuration up to ``number``."""
        held = [self.holders_at(each) for each in range(1, number + 1)]
        return {each[key] for each in held if key in each}

    def document(self, number: int, base: int) -> bytes:
        """Return configuration ``number``, with its tenants and a public route."""
        kinds = {READ: "safe", WRITE: "unsafe", DOWNLOAD: "download", OPEN: "safe"}
        kinds[f"v{number}"] = "safe"
        value = json.loads(document_of(number, base, kinds, DEADLINE_MS))
        for route in value["virtualHosts"][0]["pathRoutes"]:
            route["public"] = route["name"] == f"r-{OPEN}"
        value["services"][0].update(warmupS=WARM_UP_SECONDS, warmupPerS=WARM_UP_PER_SECOND)
        value["tenants"] = self._tenants(number)
        return json.dumps(value).encode()

    def _tenants(self, number: int) -> list[dict]:
        holders = self.holders_at(number)
        tenants = []
        for name in (*STEADY_TENANTS, RUSHED):
            keys = [key for key, holder in holders.items() if holder == name]
            limit = {"ratePerS": RATE, "burst": BURST} if name == RUSHED else {}
            tenants.append({"name": name, "apiKeys": keys, **limit})
        return tenants


@dataclass(kw_only=True)
class TenantOperator(Operator):
    """An operator whose configurations hold the plan's tenants."""

    plan: TenantPlan

    def document(self, number: int) -> bytes:
        return self.plan.document(number, self.newest)
