"""Restricts calls to the back end versions that a rollout allows.

During a rollout a fraction of the service's calls goes to the target version. These calls are sent
to a proportional number of its back ends, the same ones at all proxies, so that each gets its
normal load: a version may fail only under load. All other calls go to the baseline version.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence

from msgspec import Struct

from limelever.protocol.config_pb2 import (
    ROLLOUT_STATE_COMPLETED,
    ROLLOUT_STATE_RUNNING,
    Rollout,
)
from limelever.protocol.endpoint_hash import endpoint_hash
from limelever.proxy.endpoints import EndpointEntry
from limelever.rollout.progression import ALL_PERMILLE

Endpoints = Sequence[EndpointEntry]


class _Pools(Struct, frozen=True):
    """Endpoints that a service's calls may go to, cached for the same ``usable`` sequence.

    ``canary`` takes the fraction of the calls that tests the target version.
    """

    usable: Endpoints
    main: Endpoints
    canary: Endpoints


class VersionGate:
    """Selects a service's eligible endpoints by its rollout, if there is one."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._rollouts: Mapping[str, Rollout] = {}
        self._pools: dict[str, _Pools] = {}

    def set_rollouts(self, rollouts: Mapping[str, Rollout]) -> None:
        """Apply these rollouts, by service, from now on."""
        self._rollouts = rollouts
        self._pools.clear()

    def eligible(self, service: str, usable: Endpoints) -> Endpoints:
        """Return the endpoints that may take a call to ``service``."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return usable
        pools = self._pools.get(service)
        if pools is None or pools.usable is not usable:
            pools = self._pools[service] = _pools(rollout, usable)
        if pools.canary and self._random.random() * ALL_PERMILLE < rollout.permille:
            return pools.canary
        return pools.main


def _pools(rollout: Rollout, usable: Endpoints) -> _Pools:
    baseline = [entry for entry in usable if _is_baseline(rollout, entry)]
    target = [entry for entry in usable if entry.version == rollout.target]
    if rollout.state == ROLLOUT_STATE_COMPLETED:
        return _Pools(usable, target, ())
    if rollout.state != ROLLOUT_STATE_RUNNING or not rollout.permille:
        return _Pools(usable, baseline, ())
    if rollout.permille >= ALL_PERMILLE:
        return _Pools(usable, target or baseline, ())
    count = max(1, math.ceil(len(baseline) * rollout.permille / ALL_PERMILLE))
    return _Pools(usable, baseline, sorted(target, key=_order_key)[:count])


def _is_baseline(rollout: Rollout, entry: EndpointEntry) -> bool:
    """Return whether an endpoint runs the version that is being replaced.

    An endpoint of unknown version does not count, as it may run the target version.
    """
    if rollout.baseline:
        return entry.version == rollout.baseline
    return entry.version not in ("", rollout.target)


def _order_key(entry: EndpointEntry) -> int:
    """Return a number that gives a version's endpoints the same order at all proxies."""
    return endpoint_hash(entry.key.service, entry.key.instance)
