"""Lets calls to the back ends of those versions only that a rollout allows.

While one runs, a part of the service's calls is drawn for the target version. It goes to a few of
the version's back ends, the same ones at all proxies, so that each has about the usual load: a
version may be bad under load alone. All other calls go to the baseline.
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

Entries = Sequence[EndpointEntry]


class _Pools(Struct, frozen=True):
    """The endpoints that a service's calls may go to, made from ``usable`` as it was then.

    ``canary`` take the part that is drawn for a version under trial.
    """

    usable: Entries
    main: Entries
    canary: Entries


class VersionGate:
    """Chooses among a service's usable endpoints by its rollout; without one all are let."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._rollouts: Mapping[str, Rollout] = {}
        self._pools: dict[str, _Pools] = {}

    def set_rollouts(self, rollouts: Mapping[str, Rollout]) -> None:
        """Go by these rollouts, by service, from now on."""
        self._rollouts = rollouts
        self._pools.clear()

    def let(self, service: str, usable: Entries) -> Entries:
        """Return the endpoints among which a call to ``service`` is placed."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return usable
        pools = self._pools.get(service)
        if pools is None or pools.usable is not usable:
            pools = self._pools[service] = _pools(rollout, usable)
        if pools.canary and self._random.random() * ALL_PERMILLE < rollout.permille:
            return pools.canary
        return pools.main


def _pools(rollout: Rollout, usable: Entries) -> _Pools:
    former = [entry for entry in usable if _is_former(rollout, entry)]
    target = [entry for entry in usable if entry.version == rollout.target]
    if rollout.state == ROLLOUT_STATE_COMPLETED:
        return _Pools(usable, target, ())
    if rollout.state != ROLLOUT_STATE_RUNNING or not rollout.permille:
        return _Pools(usable, former, ())
    if rollout.permille >= ALL_PERMILLE:
        return _Pools(usable, target or former, ())
    count = max(1, math.ceil(len(former) * rollout.permille / ALL_PERMILLE))
    return _Pools(usable, former, sorted(target, key=_rank)[:count])


def _is_former(rollout: Rollout, entry: EndpointEntry) -> bool:
    """Return whether an endpoint is of the version from which calls are moved.

    An endpoint whose version is not known is of none: it may be of the target.
    """
    if rollout.baseline:
        return entry.version == rollout.baseline
    return entry.version not in ("", rollout.target)


def _rank(entry: EndpointEntry) -> int:
    """Return a number by which all proxies put a version's endpoints in one order."""
    return endpoint_hash(entry.key.service, entry.key.instance)
