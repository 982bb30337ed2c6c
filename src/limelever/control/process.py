"""The control process: a source replica and a relay in one, for small sites.

The relay follows the replica beside it, and learns of the other relays from the members of the
replica's group: each of these has a relay beside it at the same port.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from functools import partial

import trio

from limelever.common.sansio import Role
from limelever.common.settings import is_address, parse_address
from limelever.control.rollout_driver import RolloutDriver
from limelever.control.rollouts import RolloutDesk
from limelever.control.settings import ControlSettings, relay_settings, source_settings
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


class ControlDoor:
    """What further interfaces of a control process use: checks of requests, and their answers.

    ``relay`` is the core of the relay beside the replica, once it has started.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self.desk = OperatorDesk()
        self.checks = RequestChecks(sealer_of(source_settings(settings)))
        self.relay: RelayCore | None = None
        self.rollouts = RolloutDesk(self.desk, self.checks, self._endpoints_of)

    def _endpoints_of(self, service: str) -> list[Endpoint]:
        return self.relay.endpoints.table.of_service(service) if self.relay is not None else []


PERCENT = 100.0
Gateways = Callable[[ControlDoor], Sequence[Gateway]]


def run(
    settings: ControlSettings,
    gateways: Gateways = lambda _: (),
    *,
    source: SettingsFile | None = None,
) -> int:
    """Run the process until a planned stop or a failure; return the exit status."""
    incarnation = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    main = partial(_main, settings, gateways)
    return run_role(settings, main, incarnation=incarnation, source=source)


class _Neighbours:
    """Tells the relay of the other relays, whichever of relay and news comes first."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._names: frozenset[str] = frozenset()
        self._relay: CoreRunner | None = None

    def relay_started(self, runner: CoreRunner) -> None:
        """Take the runner of the relay's core."""
        self._relay = runner
        self._tell()

    def members_known(self, names: frozenset[str]) -> None:
        """Take the names of the replicas, which are their addresses."""
        self._names = names
        self._tell()

    def _tell(self) -> None:
        replicas = [parse_address(name) for name in sorted(self._names) if is_address(name)]
        if self._relay is not None and replicas:
            relays = tuple(self._settings.relay_at(replica) for replica in replicas)
            self._relay.post(RelaysKnown(relays))


async def _main(settings: ControlSettings, gateways: Gateways, shell: ProcessShell) -> None:
    door = ControlDoor(settings)
    neighbours = _Neighbours(settings)
    listener = shell.new_listener(Role.RELAY)
    limits = ExposureLimit(fraction=settings.rollout.exposed_percent / PERCENT)
    driver = RolloutDriver(door.rollouts, lambda: door.relay, limits)
    done = trio.Event()

    def relay_started(runner: CoreRunner, core: RelayCore) -> None:
        door.relay = core
        neighbours.relay_started(runner)

    async with trio.open_nursery() as serving:
        failure = await start_gateways(gateways(door), done, serving)
        if failure is not None:
            raise ProcessFailedError(failure)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                relay_process.serve,
                relay_settings(settings),
                shell,
                listener,
                relay_started,
            )
            nursery.start_soon(driver.run)
            nursery.start_soon(
                source_process.serve,
                source_settings(settings),
                shell,
                door.desk,
                neighbours.members_known,
            )
        done.set()
