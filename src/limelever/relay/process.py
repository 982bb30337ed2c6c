"""The relay process: runs the relay core with its links, disk and timers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import trio

from limelever.common.backoff import BackoffSettings
from limelever.common.errors import Failure
from limelever.common.sansio import Output, Purpose, Recovered, Role
from limelever.common.settings import seconds
from limelever.publisher.settings import PublisherSettings
from limelever.relay.core import RelayCore, RelayOptions
from limelever.relay.departure_disk import DepartureDisk
from limelever.relay.endpoint_exchange import EndpointExchangeSettings
from limelever.relay.endpoint_table import TableSettings
from limelever.relay.interface import (
    PlatformListRead,
    RelayReady,
    StopRequested,
    WriteDepartures,
)
from limelever.relay.sealing import SnapshotSealer
from limelever.relay.settings import RelaySettings
from limelever.storage.folder_disk import FolderDisk
from limelever.subscriber.settings import SubscriberSettings
from limelever.transport.data_folder import open_data_folder
from limelever.transport.listener import LinkListener
from limelever.transport.process import ProcessFailedError, ProcessShell, run_role
from limelever.transport.reload import SettingsFile
from limelever.transport.runner import CoreRunner

_NS_PER_MS = 1_000_000
_STOP_FLUSH_SECONDS = 0.2
"""Time to send the last messages of a planned stop."""

DEPARTURES_NAME = "departures"
"""Folder of the departed runs in the relay's data folder."""

ACCEPTED_PURPOSES = (Purpose.SUBSCRIPTION, Purpose.REGISTRATION, Purpose.ENDPOINTS)


def run(settings: RelaySettings, *, source: SettingsFile | None = None) -> int:
    """Run the relay until a planned stop or a failure; return the exit status."""
    incarnation = time.time_ns() // _NS_PER_MS
    return run_role(settings, partial(_main, settings), incarnation=incarnation, source=source)


def options_from(settings: RelaySettings, incarnation: int) -> RelayOptions:
    """Return the options of the relay core for these settings."""
    return RelayOptions(
        name=settings.name,
        incarnation=incarnation,
        subscriber=_subscriber_settings(settings),
        publisher=_publisher_settings(settings),
        endpoints=_endpoints_settings(settings),
        address=settings.listen,
        zone=settings.zone,
        limits=settings.limits.rules(),
    )


def _subscriber_settings(settings: RelaySettings) -> SubscriberSettings:
    subscription = settings.subscription
    return SubscriberSettings(
        publishers=settings.sources,
        everything=True,
        stale_after=seconds(subscription.stale_after_ms),
        probe_interval=seconds(subscription.probe_interval_ms),
        persist_snapshot=bool(settings.snapshot_keys and settings.data_folder),
        snapshot_delay=seconds(subscription.snapshot_delay_ms),
        longest_pause=seconds(subscription.longest_pause_ms),
    )


def _publisher_settings(settings: RelaySettings) -> PublisherSettings:
    distribution = settings.distribution
    return PublisherSettings(
        batch_delay=seconds(distribution.batch_delay_ms),
        heartbeat_interval=seconds(distribution.heartbeat_ms),
        window=distribution.window_versions,
        window_bytes=distribution.window_bytes,
        outstanding=distribution.outstanding_deltas,
        admission_rate=distribution.admission_rate,
        admission_burst=distribution.admission_burst,
        retry_after_limit=seconds(distribution.retry_after_limit_ms),
        hold_empty=seconds(distribution.hold_empty_ms),
        report_interval=seconds(distribution.report_interval_ms),
        proves_itself=False,
    )


def _endpoints_settings(settings: RelaySettings) -> EndpointExchangeSettings:
    endpoints = settings.endpoints
    return EndpointExchangeSettings(
        peers=settings.peers,
        lease_duration=seconds(endpoints.lease_ms),
        batch_interval=seconds(endpoints.batch_ms),
        heartbeat_interval=seconds(endpoints.heartbeat_ms),
        idle_timeout=seconds(endpoints.silent_after_ms),
        backoff=BackoffSettings(maximum=seconds(endpoints.longest_pause_ms)),
        table=TableSettings(
            tombstone=seconds(endpoints.tombstone_ms),
            relay_grace=seconds(endpoints.relay_grace_ms),
        ),
    )


async def _main(settings: RelaySettings, shell: ProcessShell) -> None:
    folder = Path(settings.data_folder) / DEPARTURES_NAME if settings.data_folder else None
    await serve(settings, shell, shell.listener, departures_folder=folder)


async def serve(
    settings: RelaySettings,
    shell: ProcessShell,
    listener: LinkListener,
    on_started: Callable[[CoreRunner, RelayCore], None] = lambda _, __: None,
    *,
    departures_folder: Path | None = None,
) -> None:
    """Run a relay within a process until its planned stop, accepting links from ``listener``.

    ``on_started`` is called with the runner and the core once the relay listens. Without a
    ``departures_folder`` the runs that have left are kept in memory only.
    """
    disk = _open_disk(settings.data_folder)
    core = RelayCore(
        options_from(settings, shell.incarnation),
        random.Random(),
        disk.recovered if disk is not None else Recovered(),
        _sealer(settings),
    )

    def on_output(output: Output) -> None:
        if isinstance(output, RelayReady):
            shell.set_ready()
        elif isinstance(output, WriteDepartures):
            departures.write(output)

    async with trio.open_nursery() as nursery:
        runner = shell.add_core(
            core,
            on_output,
            accepts=ACCEPTED_PURPOSES,
            disk=disk,
            role=Role.RELAY,
            listener=listener,
        )
        departures = DepartureDisk(departures_folder, runner)
        shell.report_version(lambda: core.version)
        shell.report_freshness(lambda: core.fresh_at)
        await nursery.start(runner.run)
        nursery.start_soon(departures.run)
        await shell.listen(settings.listen, listener)
        on_started(runner, core)
        _start_polling(settings, runner, nursery)
        await shell.stop_requested.wait()
        listener.stop()
        runner.post(StopRequested())
        await trio.sleep(_STOP_FLUSH_SECONDS)
        nursery.cancel_scope.cancel()


def _start_polling(settings: RelaySettings, runner: CoreRunner, nursery: trio.Nursery) -> None:
    platform = settings.platform_list
    if platform.address is None:
        return
    # Imported lazily: the HTTP client is expensive to import and only needed with a platform list.
    from limelever.relay.platform_list import poll_machines

    nursery.start_soon(
        poll_machines,
        platform.address,
        platform.path,
        seconds(platform.interval_ms),
        seconds(platform.timeout_ms),
        lambda notices: runner.post(PlatformListRead(notices)),
    )


def _sealer(settings: RelaySettings) -> SnapshotSealer | None:
    if not settings.snapshot_keys:
        return None
    sealer = SnapshotSealer.from_texts(settings.snapshot_keys)
    if isinstance(sealer, Failure):
        raise ProcessFailedError(sealer)
    return sealer


def _open_disk(data_folder: str) -> FolderDisk | None:
    if not data_folder:
        return None
    opened = open_data_folder(data_folder)
    if isinstance(opened, Failure):
        raise ProcessFailedError(opened)
    return opened
