"""Source processes: the source's core and a keeper, each with its disk."""

from __future__ import annotations

import random
from collections.abc import Callable

from limelever.common.errors import Failure
from limelever.common.sansio import Core, Purpose, Recovered, Role
from limelever.keeper.core import KeeperCore
from limelever.keeper.settings import KeeperSettings
from limelever.publisher.settings import PublisherSettings
from limelever.source.at_rest import KEY_BYTES, SecretSealer
from limelever.source.core import SourceCore
from limelever.source.replication.settings import ReplicationSettings
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.network import Network
from limelever_lab.simulator.node import Node, NodeName
from limelever_lab.simulator.plan import Place, Plan
from limelever_lab.simulator.process import Process

WALL_OFFSET = 1_700_000_000.0
SNAPSHOT_EVERY = 48
"""Small, so that runs of a minute take and send snapshots."""
REJOIN_WAIT = 4.0
SEALER = SecretSealer([b"k" * KEY_BYTES])

_SOURCE_PURPOSES = frozenset({Purpose.REPLICATION, Purpose.SUBSCRIPTION})
_KEEPER_PURPOSES = frozenset({Purpose.KEEPER})


def source_process(
    place: Place, plan: Plan, batch_delay: float, environment: Environment, network: Network
) -> Process:
    """Return a source process of the plan, not yet started."""
    source = Node(
        environment,
        network,
        NodeName(place.name, place.name, Role.SOURCE, place.zone, _SOURCE_PURPOSES),
        _source_maker(place, plan, batch_delay, environment),
    )
    keeper_name = f"{place.name}/keeper"
    keeper = Node(
        environment,
        network,
        NodeName(keeper_name, place.name, Role.SOURCE, place.zone, _KEEPER_PURPOSES),
        _keeper_maker(place, plan),
    )
    network.listen(place.address, source)
    network.listen(place.keeper_address, keeper)
    return Process(place.name, Role.SOURCE, [source, keeper])


def _source_maker(
    place: Place, plan: Plan, batch_delay: float, environment: Environment
) -> Callable[[Recovered, int], Core]:
    settings = ReplicationSettings(
        name=place.name,
        peers={peer.name: peer.address for peer in plan.sources if peer is not place},
        operator_address=str(place.operator_address),
        bootstrap=True,
        snapshot_every=SNAPSHOT_EVERY,
    )
    publisher = PublisherSettings(batch_delay=batch_delay)

    def make(recovered: Recovered, _life: int) -> Core:
        generator = random.Random(environment.random.getrandbits(64))
        core = SourceCore.open(settings, publisher, recovered, generator, SEALER)
        if isinstance(core, Failure):
            raise RuntimeError(f"{place.name} does not start: {core}")
        return core

    return make


def _keeper_maker(place: Place, plan: Plan) -> Callable[[Recovered, int], Core]:
    settings = KeeperSettings(
        name=place.name,
        others=tuple(peer.keeper_address for peer in plan.sources if peer is not place),
        rejoin_wait=REJOIN_WAIT,
    )

    def make(recovered: Recovered, _life: int) -> Core:
        return KeeperCore(settings, recovered, WALL_OFFSET)

    return make
