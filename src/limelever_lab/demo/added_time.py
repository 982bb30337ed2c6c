"""What the mesh adds to a call: the same calls to back ends directly and through proxies.

Back ends say how long they worked on a call; the rest of its time is that of the path to them.
Calls are made one after the other, so this is the time of an unloaded path, and the difference
of the two paths is what the mesh adds.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import dataclass

import httpcore

from limelever_lab.fleet.deployment import CallClass
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.ports import LOOPBACK
from limelever_lab.load.caller import GROUP_HEADER, HTTP_OK
from limelever_lab.load.outcomes import Quantiles, quantiles
from limelever_lab.standins.backend import CALL_ID_HEADER, WORK_SECONDS_HEADER

CALLS_EACH_WAY = 200
WARM_UP_CALLS = 20


@dataclass(frozen=True, slots=True)
class AddedTime:
    """Path times in seconds, without the work of the back end."""

    direct: Quantiles
    mesh: Quantiles

    @property
    def p50(self) -> float:
        """Return what the mesh adds at the median, in seconds."""
        return self.mesh.p50 - self.direct.p50

    @property
    def p99(self) -> float:
        """Return the difference of the 99th percentiles, in seconds."""
        return self.mesh.p99 - self.direct.p99


def measure_added_time(fleet: Fleet) -> AddedTime:
    """Make repeatable calls on both paths in turn; raises ``RuntimeError`` for a refused one."""
    call_class = fleet.layout.deployment.calls[0]
    backends = [a for a in fleet.layout.agents if a.service.name == call_class.service]
    direct_targets = [f"http://{LOOPBACK}:{agent.backend_port}" for agent in backends]
    direct: list[float] = []
    mesh: list[float] = []
    with httpcore.ConnectionPool() as pool:
        for number in range(WARM_UP_CALLS + CALLS_EACH_WAY):
            direct.append(_path_seconds(pool, direct_targets, call_class, number))
            mesh.append(_path_seconds(pool, fleet.targets, call_class, number))
    return AddedTime(quantiles(direct[WARM_UP_CALLS:]), quantiles(mesh[WARM_UP_CALLS:]))


def _path_seconds(
    pool: httpcore.ConnectionPool, targets: Sequence[str], call_class: CallClass, number: int
) -> float:
    address = targets[number % len(targets)] + call_class.path.replace("{number}", str(number))
    headers = [(GROUP_HEADER, call_class.group), (CALL_ID_HEADER, f"added-time-{number}")]
    started = time.perf_counter()
    response = pool.request(call_class.method, address, headers=headers)
    elapsed = time.perf_counter() - started
    if response.status != HTTP_OK:
        raise RuntimeError(f"{address} answered {response.status}")
    worked = next(
        value for name, value in response.headers if name.decode().lower() == WORK_SECONDS_HEADER
    )
    return elapsed - float(worked)
