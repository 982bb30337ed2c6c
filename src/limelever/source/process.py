"""The source process: a replica with its publisher, a keeper, and the operators' service."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TypeVar

import trio

from limelever.common.errors import Failure
from limelever.common.sansio import Address, Output, Purpose, Role
from limelever.keeper.core import KeeperCore
from limelever.source.at_rest import SecretSealer
from limelever.source.core import SourceCore
from limelever.source.messages import (
    MembersKnown,
    OperatorAnswer,
    SeedsListed,
    StopRequested,
)
from limelever.source.operator_desk import OperatorDesk
from limelever.source.operator_service import operator_application, serve_operators
from limelever.source.settings import (
    SourceSettings,
    keeper_settings,
    publisher_settings,
    replication_settings,
)
from limelever.storage.folder_disk import FolderDisk
from limelever.transport.data_folder import open_data_folder
from limelever.transport.metrics import publish_group_feature_level
from limelever.transport.process import ProcessFailedError, ProcessShell, run_role
from limelever.transport.reload import SettingsFile

T = TypeVar("T")
REPLICA_FOLDER = "replica"
KEEPER_FOLDER = "keeper"
_READY_POLL_SECONDS = 0.05
_FLUSH_SECONDS = 0.2
"""Time that the last messages of a planned stop have to leave."""


def run(settings: SourceSettings, *, source: SettingsFile | None = None) -> int:
    """Run the source until a planned stop or a failure; return the exit status."""
    return run_role(settings, partial(_main, settings), source=source)


async def _main(settings: SourceSettings, shell: ProcessShell) -> None:
    keeper_disk = open_disk(settings, KEEPER_FOLDER)
    wall_offset = time.time() - trio.current_time()
    keeper = KeeperCore(keeper_settings(settings), keeper_disk.recovered, wall_offset)
    async with trio.open_nursery() as nursery:
        keeper_runner = shell.add_core(
            keeper, lambda _: None, accepts=(Purpose.KEEPER,), disk=keeper_disk
        )
        await nursery.start(keeper_runner.run)
        await serve(settings, shell)
        nursery.cancel_scope.cancel()


async def serve(
    settings: SourceSettings,
    shell: ProcessShell,
    desk: OperatorDesk | None = None,
    on_members: Callable[[frozenset[str]], None] = lambda _: None,
) -> None:
    """Run a replica and the operators' service within a process until its planned stop.

    ``desk`` takes requests of further interfaces, ``on_members`` the names of the group's members.
    """
    disk = open_disk(settings, REPLICA_FOLDER)
    sealer = sealer_of(settings)
    core = _required(
        SourceCore.open(
            replication_settings(settings, settings.operator_listen),
            publisher_settings(settings),
            disk.recovered,
            random.Random(),
            sealer,
        )
    )
    desk = desk or OperatorDesk()

    def on_output(output: Output) -> None:
        match output:
            case OperatorAnswer():
                desk.take(output)
            case MembersKnown(names):
                on_members(names)

    purposes = (Purpose.REPLICATION, Purpose.SUBSCRIPTION)
    async with trio.open_nursery() as nursery:
        runner = shell.add_core(core, on_output, accepts=purposes, disk=disk, role=Role.SOURCE)
        desk.open(runner)
        shell.reloading.handle("seeds", lambda seeds: runner.post(SeedsListed(seeds)))
        shell.report_version(lambda: core.state.version)
        publish_group_feature_level(lambda: core.replica.feature_level)
        await nursery.start(runner.run)
        await shell.listen(settings.listen)
        async with trio.open_nursery() as serving:
            await _serve_operators(settings, shell, desk, sealer, serving)
            serving.start_soon(_watch_ready, core, shell)
            await shell.stop_requested.wait()
        runner.post(StopRequested())
        await trio.sleep(_FLUSH_SECONDS)
        desk.close()
        nursery.cancel_scope.cancel()


def sealer_of(settings: SourceSettings) -> SecretSealer:
    """Return the sealer for the keys in the settings, which may be none."""
    if not settings.secrets.keys:
        return SecretSealer.without_keys()
    return _required(SecretSealer.from_texts(settings.secrets.keys))


async def _serve_operators(
    settings: SourceSettings,
    shell: ProcessShell,
    desk: OperatorDesk,
    sealer: SecretSealer,
    nursery: trio.Nursery,
) -> Address:
    application = operator_application(
        desk.ask,
        settings.operators,
        sealer=sealer,
        zones=settings.zones,
        regions=settings.regions().known,
    )
    serve = partial(
        serve_operators, application, settings.operator_listen, settings.tls, shell.stop_requested
    )
    bound: Address | Failure = await nursery.start(serve)
    return _required(bound)


async def _watch_ready(core: SourceCore, shell: ProcessShell) -> None:
    """Ready once a leader is known; stays so until the planned stop."""
    while not core.replica.leader and not shell.stop_requested.is_set():
        await trio.sleep(_READY_POLL_SECONDS)
    if not shell.stop_requested.is_set():
        shell.set_ready()


def open_disk(settings: SourceSettings, name: str) -> FolderDisk:
    """Open the folder of one of the process's cores, or end the process."""
    return _required(open_data_folder(Path(settings.data_folder) / name))


def _required(value: T | Failure) -> T:
    if isinstance(value, Failure):
        raise ProcessFailedError(value)
    return value
