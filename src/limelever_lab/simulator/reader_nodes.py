"""Relays, proxies and agents of the simulator, made from their shipped cores."""

from __future__ import annotations

import random

from limelever.agent.call_service import CallLimits
from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.drain import DrainLimits
from limelever.agent.fair_queue import QueueLimits
from limelever.agent.registration import RegistrationSettings
from limelever.common.sansio import Address, Core, Purpose, Recovered, Role
from limelever.keeper.settings import KeeperClientSettings
from limelever.proxy.balancer import BalancerSettings
from limelever.proxy.core import ProxyCore, ProxyCoreSettings
from limelever.publisher.settings import PublisherSettings
from limelever.relay.core import RelayCore, RelayOptions
from limelever.relay.endpoint_exchange import EndpointExchangeSettings
from limelever.relay.sealing import KEY_BYTES, SnapshotSealer
from limelever.subscriber.settings import SubscriberSettings
from limelever_lab.simulator.deployments import SimulatedDeployment
from limelever_lab.simulator.environment import Environment
from limelever_lab.simulator.network import Network
from limelever_lab.simulator.node import INCARNATION_BASE, MakeCore, Node, NodeName
from limelever_lab.simulator.plan import Place, Plan
from limelever_lab.simulator.process import Process

CLAIM_WINDOW = 2.0
BACK_END_SLOTS = 6
COLD_START_LIMIT = 3.0
SNAPSHOT_SEALER = SnapshotSealer([b"s" * KEY_BYTES])

_RELAY_PURPOSES = frozenset({Purpose.SUBSCRIPTION, Purpose.REGISTRATION, Purpose.ENDPOINTS})
_AGENT_PURPOSES = frozenset({Purpose.CALLS})


class ReaderNodes:
    """Makes the processes that read configuration."""

    def __init__(
        self,
        plan: Plan,
        deployment: SimulatedDeployment,
        environment: Environment,
        network: Network,
    ) -> None:
        self._plan = plan
        self._deployment = deployment
        self._environment = environment
        self._network = network

    def relay(self, place: Place) -> Process:
        """Return a relay's process, not yet started."""
        return self._process(place, Role.RELAY, _RELAY_PURPOSES, self._relay_maker(place))

    def proxy(self, place: Place) -> Process:
        """Return a proxy's process, not yet started; its scope is every service."""
        return self._process(place, Role.PROXY, frozenset(), self._proxy_maker(place))

    def agent(self, place: Place) -> Process:
        """Return an agent's process, not yet started."""
        return self._process(place, Role.AGENT, _AGENT_PURPOSES, self._agent_maker(place))

    def _process(
        self, place: Place, role: Role, accepts: frozenset[Purpose], make: MakeCore
    ) -> Process:
        names = NodeName(place.name, place.name, role, place.zone, accepts)
        node = Node(self._environment, self._network, names, make)
        if accepts:
            self._network.listen(place.address, node)
        return Process(place.name, role, [node])

    def _generator(self) -> random.Random:
        return random.Random(self._environment.random.getrandbits(64))

    def _relays_near(self, place: Place) -> tuple[Address, ...]:
        """Return the relays, those of the own zone first."""
        near = sorted(self._plan.relays, key=lambda relay: relay.zone != place.zone)
        return tuple(relay.address for relay in near)

    def _relay_maker(self, place: Place) -> MakeCore:
        batch_delay = self._deployment.batch_delay

        def make(recovered: Recovered, life: int) -> Core:
            options = RelayOptions(
                name=place.name,
                incarnation=INCARNATION_BASE + life,
                subscriber=SubscriberSettings(
                    publishers=tuple(source.address for source in self._plan.sources),
                    everything=True,
                    persist_snapshot=True,
                ),
                publisher=PublisherSettings(batch_delay=batch_delay, proves_itself=False),
                endpoints=EndpointExchangeSettings(
                    peers=tuple(relay.address for relay in self._plan.relays if relay is not place)
                ),
            )
            return RelayCore(options, self._generator(), recovered, SNAPSHOT_SEALER)

        return make

    def _proxy_maker(self, place: Place) -> MakeCore:
        def make(recovered: Recovered, _life: int) -> Core:
            settings = ProxyCoreSettings(
                subscriber=SubscriberSettings(
                    publishers=self._relays_near(place), services=place.scope
                ),
                keepers=KeeperClientSettings(
                    keepers=tuple(source.keeper_address for source in self._plan.sources),
                    claim_window=CLAIM_WINDOW,
                ),
                balancer=BalancerSettings(zone=place.zone),
            )
            return ProxyCore(settings, self._generator(), recovered)

        return make

    def _agent_maker(self, place: Place) -> MakeCore:
        def make(recovered: Recovered, life: int) -> Core:
            options = AgentOptions(
                registration=RegistrationSettings(
                    relays=self._relays_near(place),
                    service=place.service,
                    instance=place.name,
                    zone=place.zone,
                    address=place.address,
                    slots=BACK_END_SLOTS,
                ),
                subscriber=SubscriberSettings(
                    publishers=self._relays_near(place), services=(place.service,)
                ),
                calls=CallLimits(queue=QueueLimits(slots=BACK_END_SLOTS)),
                drain=DrainLimits(),
                cold_start_limit=COLD_START_LIMIT,
            )
            incarnation = INCARNATION_BASE + life
            return AgentCore(options, incarnation, self._generator(), recovered)

        return make
