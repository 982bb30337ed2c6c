"""The control process: a source replica and a relay in one process, for small deployments.

The relay subscribes to the local replica. It derives the addresses of the other relays from the
members of the replication group, as each control process runs a relay on the same port.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import trio

from limelever.common.sansio import Role
from limelever.common.settings import is_address, parse_address
from limelever.control.rollout_driver import RolloutDriver
from limelever.control.rollout_store import RolloutStore
from limelever.control.settings import ControlSettings, relay_settings, source_settings
from limelever.control.zone_drain_store import ZoneDrainStore
from limelever.protocol.endpoints_pb2 import Endpoint
from limelever.relay import process as relay_process
from limelever.relay.core import RelayCore
from limelever.relay.interface import RelaysKnown
from limelever.rollout.progression import ExposureLimit
from limelever.source import process as source_process
from limelever.source.operator_desk import OperatorDesk
from limelever.source.operator_door import RequestChecks
from limelever.source.process import sealer_of
from limelever.transport.gateway import Gateway, start_gateways
from limelever.transport.process import ProcessFailedError, ProcessShell, run_role
from limelever.transport.reload import SettingsFile
from limelever.transport.runner import CoreRunner

_NANOSECONDS_PER_MILLISECOND = 1_000_000


class ControlInterface:
    """What gateways of a control process use to check requests and have them answered.

    ``relay`` is the core of the local relay, or ``None`` until it has started.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self.operator_requests = OperatorDesk()
        sealer = sealer_of(source_settings(settings))
        self.request_checks = RequestChecks(sealer, settings.zones, settings.regions().known)
        self.relay: RelayCore | None = None
        self.rollouts = RolloutStore(
            self.operator_requests, self.request_checks, self._service_endpoints
        )
        self.zone_drains = ZoneDrainStore(
            self.operator_requests, self.request_checks, settings.zones
        )

    def _service_endpoints(self, service: str) -> list[Endpoint]:
        return self.relay.endpoints.table.of_service(service) if self.relay is not None else []


PERCENT = 100.0
GatewayFactory = Callable[[ControlInterface], Sequence[Gateway]]


def run(
    settings: ControlSettings,
    gateways: GatewayFactory = lambda _: (),
    *,
    source: SettingsFile | None = None,
) -> int:
    """Run the process until a planned stop or a failure; return the exit status."""
    incarnation = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    main = partial(_main, settings, gateways)
    return run_role(settings, main, incarnation=incarnation, source=source)


class _RelayDiscovery:
    """Passes the addresses of the other relays to the local relay.

    The relay may start before or after the group's members are known.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._replicas: frozenset[str] = frozenset()
        self._relay: CoreRunner | None = None

    def relay_started(self, runner: CoreRunner) -> None:
        """Set the runner of the local relay's core."""
        self._relay = runner
        self._notify_relay()

    def replicas_known(self, replicas: frozenset[str]) -> None:
        """Set the members of the replication group; a replica's name is its address."""
        self._replicas = replicas
        self._notify_relay()

    def _notify_relay(self) -> None:
        replicas = [parse_address(name) for name in sorted(self._replicas) if is_address(name)]
        if self._relay is not None and replicas:
            relays = tuple(self._settings.relay_address(replica) for replica in replicas)
            self._relay.post(RelaysKnown(relays))


async def _main(settings: ControlSettings, gateways: GatewayFactory, shell: ProcessShell) -> None:
    interface = ControlInterface(settings)
    relay_discovery = _RelayDiscovery(settings)
    listener = shell.new_listener(Role.RELAY)
    exposure_limit = ExposureLimit(fraction=settings.rollout.exposed_percent / PERCENT)
    driver = RolloutDriver(interface.rollouts, lambda: interface.relay, exposure_limit)
    stopped = trio.Event()

    def relay_started(runner: CoreRunner, core: RelayCore) -> None:
        interface.relay = core
        relay_discovery.relay_started(runner)

    async with trio.open_nursery() as gateway_nursery:
        failure = await start_gateways(gateways(interface), stopped, gateway_nursery)
        if failure is not None:
            raise ProcessFailedError(failure)
        async with trio.open_nursery() as nursery:
            serve_relay = partial(
                relay_process.serve,
                departures_folder=Path(settings.data_folder) / relay_process.DEPARTURES_NAME,
            )
            nursery.start_soon(
                serve_relay, relay_settings(settings), shell, listener, relay_started
            )
            nursery.start_soon(driver.run)
            nursery.start_soon(
                source_process.serve,
                source_settings(settings),
                shell,
                interface.operator_requests,
                relay_discovery.replicas_known,
            )
        stopped.set()
