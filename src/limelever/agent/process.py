"""The agent process: runs the agent core, the back end client and the health probe."""

from __future__ import annotations

import random
import time
from functools import partial

import trio
from msgspec.structs import replace

from limelever.agent.backend_client import BackendClient
from limelever.agent.call_service import CallLimits
from limelever.agent.core import AgentCore, AgentOptions
from limelever.agent.drain import DrainLimits
from limelever.agent.fair_queue import QueueLimits
from limelever.agent.interface import (
    BackendProbed,
    DrainFinished,
    DrainRequested,
)
from limelever.agent.metrics import record
from limelever.agent.registration import RegistrationSettings
from limelever.agent.settings import AgentSettings, ProbeSettings
from limelever.common.backoff import BackoffSettings
from limelever.common.byte_budget import ByteBudget
from limelever.common.errors import Failure
from limelever.common.sansio import Address, Output, Purpose, Recovered, ReplaceFile
from limelever.common.settings import seconds
from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import FolderDisk
from limelever.subscriber.notices import PublishersListed
from limelever.subscriber.settings import SubscriberSettings
from limelever.transport.data_folder import report_opening
from limelever.transport.metrics import publish_body_bytes
from limelever.transport.process import ProcessFailedError, ProcessShell, run_role
from limelever.transport.reload import SettingsFile
from limelever.transport.runner import CoreRunner

_FLUSH_SECONDS = 0.2
"""Time to send the last messages after the core has finished."""

_INCARNATION_FILE = "incarnation"
_INCARNATION_BYTES = 8
_NANOSECONDS_PER_MILLISECOND = 1_000_000


def run(settings: AgentSettings, *, source: SettingsFile | None = None) -> int:
    """Run the agent until it is stopped or fails; return the exit status."""
    disk = open_folder(settings.data_folder) if settings.data_folder else None
    incarnation = next_incarnation(disk) if not isinstance(disk, Failure) else disk
    main = partial(_main, settings, disk, incarnation)
    if isinstance(incarnation, Failure):
        return run_role(settings, main)
    return run_role(settings, main, incarnation=incarnation, source=source)


def next_incarnation(disk: FolderDisk | None) -> int | Failure:
    """Return an incarnation higher than in earlier runs: the Unix time in milliseconds.

    With a data folder it also exceeds the last one stored there, in case the clock was set back.
    Without one, an agent that restarts after such a change is not registered until the relays
    have dropped its earlier run.
    """
    now = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    if disk is None:
        return now
    last = int.from_bytes(disk.recovered.files.get(_INCARNATION_FILE, b""), "big")
    incarnation = max(now, last + 1)
    content = incarnation.to_bytes(_INCARNATION_BYTES, "big")
    failure = disk.perform([ReplaceFile(0, _INCARNATION_FILE, content)])
    return incarnation if failure is None else failure


def build_agent_options(
    settings: AgentSettings, address: Address, subscriber: SubscriberSettings | None
) -> AgentOptions:
    """Return the core's options; ``address`` is where proxies connect to the agent.

    Without a ``subscriber`` the process passes its own configuration to the core.
    """
    queue, drain = settings.queue, settings.drain
    return AgentOptions(
        registration=RegistrationSettings(
            relays=settings.relays,
            service=settings.service,
            instance=settings.name,
            zone=settings.zone,
            address=address,
            slots=settings.backend.slots,
            version=settings.version,
            region=settings.regions().own,
        ),
        subscriber=subscriber,
        calls=CallLimits(
            queue=QueueLimits(
                slots=settings.backend.slots,
                group_calls=queue.group_calls,
                total_bytes=queue.total_bytes,
                default_weight=queue.default_weight,
                unlisted_groups=queue.unlisted_groups,
            ),
            max_body_bytes=queue.max_body_bytes,
            assembling_bytes=queue.total_bytes,
            link_rate=queue.link_rate_bytes,
            counts_former_calls=settings.backend.counts_former_calls
            and bool(settings.headers.load),
            log=settings.log.decisions(),
            starts=settings.warm_up.limits(),
            held=True,
        ),
        drain=DrainLimits(
            limit=seconds(drain.limit_ms),
            queue=seconds(drain.queue_ms),
            linger=seconds(drain.linger_ms),
        ),
        cold_start_limit=seconds(settings.probe.cold_start_limit_ms),
    )


def with_registration_backoff(options: AgentOptions, backoff: BackoffSettings) -> AgentOptions:
    """Return the options with this backoff between registration attempts."""
    return replace(options, registration=replace(options.registration, backoff=backoff))


def without_former_calls(options: AgentOptions) -> AgentOptions:
    """Return the options for an instance that has no calls of a former agent."""
    return replace(options, calls=replace(options.calls, counts_former_calls=False))


def with_run(options: AgentOptions, instance: str, started_at_ms: int) -> AgentOptions:
    """Return the options for an agent beside this run of an instance."""
    registration = replace(options.registration, run=instance, run_started_ms=started_at_ms)
    return replace(options, registration=registration)


def _subscriber_settings(settings: AgentSettings) -> SubscriberSettings:
    return SubscriberSettings(publishers=settings.relays, services=(settings.service,))


async def _main(
    settings: AgentSettings,
    disk: FolderDisk | Failure | None,
    incarnation: int | Failure,
    shell: ProcessShell,
) -> None:
    if disk is not None:
        report_opening(settings.data_folder, disk)
    if isinstance(disk, Failure):
        raise ProcessFailedError(disk)
    if isinstance(incarnation, Failure):
        raise ProcessFailedError(incarnation)
    bound = await shell.listen(settings.listen)
    budget = ByteBudget(settings.bodies.total_bytes)
    publish_body_bytes(budget)
    core = AgentCore(
        build_agent_options(settings, settings.advertise or bound, _subscriber_settings(settings)),
        incarnation,
        random.Random(),
        disk.recovered if disk is not None else Recovered(),
        budget=budget,
    )
    finished = trio.Event()
    async with trio.open_nursery() as nursery:

        def on_output(output: Output) -> None:
            if isinstance(output, DrainFinished):
                finished.set()
            elif not record(output):
                backend.carry_out(output)

        runner = shell.add_core(core, on_output, accepts=[Purpose.CALLS], disk=disk)
        names = settings.headers.names()
        backend = BackendClient(
            settings.backend,
            nursery,
            runner.post,
            names,
            settings.name.encode(),
            settings.probe.path,
            budget,
        )
        shell.report_version(lambda: core.version)
        shell.report_freshness(lambda: core.fresh_at)
        shell.reloading.handle("relays", lambda relays: runner.post(PublishersListed(relays)))
        await nursery.start(runner.run)
        nursery.start_soon(_probe, backend, settings.probe, runner)
        nursery.start_soon(_drain_when_stopped, shell, runner)
        shell.set_ready()
        await finished.wait()
        await trio.sleep(_FLUSH_SECONDS)
        backend.close()
        nursery.cancel_scope.cancel()


async def _drain_when_stopped(shell: ProcessShell, runner: CoreRunner) -> None:
    await shell.stop_requested.wait()
    runner.post(DrainRequested())


async def _probe(backend: BackendClient, settings: ProbeSettings, runner: CoreRunner) -> None:
    while True:
        result = await backend.probe(settings.path, seconds(settings.timeout_ms))
        runner.post(BackendProbed(result.healthy, result.warm_up_left, result.signals))
        await trio.sleep(seconds(settings.interval_ms))
