"""All hollow nodes of one process, each core with a runner of its own."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from limelever.agent.registration import RegistrationSettings
from limelever.common.errors import Failure
from limelever.common.sansio import Address, Output, Role
from limelever.subscriber.settings import SubscriberSettings
from limelever.transport.links import LinkIdentity
from limelever.transport.runner import CoreRunner
from limelever_lab.hollow.agent_node import HollowAgentCore, Restart
from limelever_lab.hollow.proxy_node import Attach, Detach, HollowProxyCore, VersionInForce
from limelever_lab.hollow.scopes import scope_of, service_of
from limelever_lab.hollow.settings import HollowSettings

KEPT_TIMES = 4096
"""Versions whose times are kept for each node."""

SLOTS = 6
HOLLOW_PORT = 9
"""Registered as each hollow agent's port; nothing calls it."""

_START_SPREAD_SECONDS = 0.002
_MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ForceTime:
    """A version, and when it came into force (CLOCK_MONOTONIC, seconds: one for a machine)."""

    version: int
    at: float


@dataclass(slots=True)
class HollowProxy:
    """One hollow proxy with its runner and the times of its versions."""

    core: HollowProxyCore
    runner: CoreRunner
    times: deque[ForceTime] = field(default_factory=lambda: deque(maxlen=KEPT_TIMES))

    def time_of(self, version: int) -> float | None:
        """Return when ``version`` or a later one came into force."""
        found = None
        for time_in_force in reversed(self.times):
            if time_in_force.version < version:
                break
            found = time_in_force.at
        return found


@dataclass(frozen=True, slots=True)
class HollowAgent:
    """One hollow agent with its runner."""

    core: HollowAgentCore
    runner: CoreRunner


class NodeSet:
    """Builds the nodes of a process and answers questions about all of them."""

    def __init__(self, settings: HollowSettings, on_failure: Callable[[Failure], None]) -> None:
        self._settings = settings
        self._on_failure = on_failure
        self._generator = random.Random(f"{settings.seed}/{settings.name}")
        numbers = range(settings.first_node, settings.first_node + settings.nodes)
        self.proxies = [self._proxy(number) for number in numbers]
        self.agents = [self._agent(number) for number in numbers] if settings.agents else []

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all runners, a little apart: real nodes do not start in one instant either."""
        runners = [proxy.runner for proxy in self.proxies]
        runners.extend(agent.runner for agent in self.agents)
        for runner in runners:
            await nursery.start(runner.run)
            await trio.sleep(_START_SPREAD_SECONDS)

    def times(self, version: int) -> list[float | None]:
        """Return for each proxy when the version or a later one came into force."""
        return [proxy.time_of(version) for proxy in self.proxies]

    def detach(self) -> None:
        """Take all proxies off their relays."""
        for proxy in self.proxies:
            proxy.runner.post(Detach())

    def attach(self) -> None:
        """Bring all proxies back to the relays at once."""
        for proxy in self.proxies:
            proxy.runner.post(Attach())

    def restart_agent(self) -> None:
        """Restart one agent, drawn from the seed."""
        if self.agents:
            self._generator.choice(self.agents).runner.post(Restart())

    def _proxy(self, number: int) -> HollowProxy:
        settings = self._settings
        subscriber = SubscriberSettings(
            publishers=settings.relays,
            services=() if settings.everything else scope_of(settings, number),
            everything=settings.everything,
        )
        core = HollowProxyCore(subscriber, self._node_generator("proxy", number))
        credential = settings.credentials.own
        name = f"hollow-proxy-{number}"
        proxy: HollowProxy

        def on_output(output: Output) -> None:
            if isinstance(output, VersionInForce):
                proxy.times.append(ForceTime(output.version, time.monotonic()))

        identity = LinkIdentity(Role.PROXY, name, settings.zone, credential)
        proxy = HollowProxy(core, self._runner(core, identity, on_output))
        return proxy

    def _agent(self, number: int) -> HollowAgent:
        settings = self._settings
        service = service_of(settings, number)
        name = f"hollow-agent-{number}"
        registration = RegistrationSettings(
            relays=settings.relays,
            service=service,
            instance=name,
            zone=settings.zone,
            address=Address(settings.control.host, HOLLOW_PORT),
            slots=SLOTS,
        )
        core = HollowAgentCore(
            registration,
            SubscriberSettings(publishers=settings.relays, services=(service,)),
            int(time.time() * _MILLISECONDS_PER_SECOND),
            self._node_generator("agent", number),
        )
        identity = LinkIdentity(Role.AGENT, name, settings.zone, settings.agent_credential)
        return HollowAgent(core, self._runner(core, identity, lambda _output: None))

    def _node_generator(self, part: str, number: int) -> random.Random:
        return random.Random(f"{self._settings.seed}/{part}/{number}")

    def _runner(
        self,
        core: HollowProxyCore | HollowAgentCore,
        identity: LinkIdentity,
        on_output: Callable[[Output], None],
    ) -> CoreRunner:
        return CoreRunner(
            core,
            identity=identity,
            settings=self._settings.links,
            context=None,
            on_output=on_output,
            on_failure=self._on_failure,
        )
