"""The proxy process, a thin shell that runs the proxy core and the HTTP edge."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import trio

from limelever.common.backoff import BackoffSettings
from limelever.common.byte_budget import ByteBudget
from limelever.common.errors import Failure
from limelever.common.http_headers import Headers
from limelever.common.sansio import Address, Output, Recovered, Role
from limelever.common.settings import seconds
from limelever.common.stop_rule import StopBegan
from limelever.keeper.settings import KeeperClientSettings
from limelever.proxy import events
from limelever.proxy.admission import AdmissionSettings
from limelever.proxy.api_key_auth import ApiKeyHeader
from limelever.proxy.attempts import AttemptSettings
from limelever.proxy.balancer import BalancerSettings
from limelever.proxy.call_types import (
    AnswerCall,
    ConfigurationApplied,
    ProxyReady,
    StopFinished,
    StopLimitNear,
    StopLimitReached,
    StopRequested,
    SuspectLinksChanged,
)
from limelever.proxy.calls import CallSettings
from limelever.proxy.core import ProxyCore, ProxyCoreSettings
from limelever.proxy.edge import Edge
from limelever.proxy.group_limits import LimitSettings
from limelever.proxy.health import HealthSettings
from limelever.proxy.metrics import DRAINED_ZONES, SUSPECT_LINKS, count_answer
from limelever.proxy.retry_rules import RetrySettings
from limelever.proxy.settings import ProxySettings
from limelever.storage.folder_disk import FolderDisk
from limelever.subscriber.notices import PublishersListed
from limelever.subscriber.settings import SubscriberSettings
from limelever.transport.data_folder import open_data_folder
from limelever.transport.log import write_event
from limelever.transport.metrics import publish_body_bytes
from limelever.transport.process import (
    FINAL_ANSWERS_SECONDS,
    ProcessFailedError,
    ProcessShell,
    run_role,
)
from limelever.transport.reload import SettingsFile
from limelever.transport.runner import CoreRunner

CANCEL_QUEUED_LEAD_SECONDS = 0.5
"""How long before the stop limit queued calls are cancelled; allows a busy agent to reply."""

_PERCENT = 100.0


def run(settings: ProxySettings, *, source: SettingsFile | None = None) -> int:
    """Run the proxy until a planned stop or a failure; return the exit status."""
    return run_role(settings, partial(serve, settings), source=source)


def core_settings(settings: ProxySettings) -> ProxyCoreSettings:
    """Convert the proxy's settings to the core's, in seconds and fractions."""
    configuration = settings.configuration
    return ProxyCoreSettings(
        subscriber=SubscriberSettings(
            publishers=settings.relays,
            services=settings.services,
            every_service=settings.every_service,
            stale_after=seconds(configuration.stale_after_ms),
            probe_interval=seconds(configuration.probe_interval_ms),
            answer_timeout=seconds(configuration.answer_timeout_ms),
            longest_pause=seconds(configuration.longest_pause_ms),
            return_backoff=BackoffSettings(base=seconds(configuration.return_after_ms)),
            zone=settings.zone,
        ),
        keepers=KeeperClientSettings(
            keepers=settings.keepers,
            completion_wait=seconds(settings.calls.completion_wait_ms),
        ),
        calls=_call_settings(settings),
        attempts=AttemptSettings(
            answer_limit_bytes=settings.calls.max_answer_bytes,
            assembly_limit_bytes=settings.calls.assembly_bytes,
            dial_wait=seconds(settings.calls.dial_wait_ms),
            added_headers=_added_headers(settings),
            reserved_headers=settings.headers.names().set_by_mesh,
            key_header=settings.headers.names().authorization,
        ),
        limits=LimitSettings(
            max_in_flight=settings.calls.in_flight,
            share_from=settings.calls.share_from_percent / _PERCENT,
            retry_after=seconds(settings.calls.retry_after_ms),
        ),
        tenant_limits=settings.limits.rules(),
        own_service=settings.caller_service,
        regions=settings.regions(),
        link_silence=seconds(settings.calls.link_silence_ms),
        balancer=_balancer_settings(settings),
        health=HealthSettings(
            failures_to_eject=settings.balancing.failures_to_eject,
            first_ejection=seconds(settings.balancing.first_ejection_ms),
            longest_ejection=seconds(settings.balancing.longest_ejection_ms),
        ),
    )


def _added_headers(settings: ProxySettings) -> Headers:
    """Return the headers added to every call to a back end."""
    name = settings.headers.names().caller_service
    return ((name, settings.caller_service.encode()),) if name else ()


def _call_settings(settings: ProxySettings) -> CallSettings:
    calls = settings.calls
    names = settings.headers.names()
    return CallSettings(
        admission=AdmissionSettings(
            default_timeout=seconds(calls.default_timeout_ms),
            stale_after=seconds(settings.configuration.stale_after_ms),
            revoked_after=seconds(settings.tenants.revoked_after_ms),
            key_header=ApiKeyHeader(names.authorization, names.key_scheme),
        ),
        retry=RetrySettings(
            attempts=calls.attempts,
            redirects=calls.redirects,
            fleet_saved_retries=calls.fleet_saved_retries,
            second_choice_percent=calls.second_choice_percent,
        ),
        completion_wait=seconds(calls.completion_wait_ms),
        log=settings.log.decisions(),
    )


def _balancer_settings(settings: ProxySettings) -> BalancerSettings:
    balancing = settings.balancing
    return BalancerSettings(
        zone=settings.zone,
        region=settings.regions().own,
        spill_load=balancing.spill_load_percent / _PERCENT,
        ejection_floor=balancing.ejection_floor_percent / _PERCENT,
        slow_start=seconds(balancing.slow_start_ms),
    )


async def serve(
    settings: ProxySettings,
    shell: ProcessShell,
    notify_host: Callable[[Output], None] = lambda _: None,
    on_started: Callable[[CoreRunner], None] = lambda _: None,
    budget: ByteBudget | None = None,
) -> None:
    """Run the proxy's core and edge within a process until a planned stop has finished.

    ``notify_host`` receives the core's outputs for the surrounding process: configurations, relays
    the health probe path of the service beside the proxy, and the departed runs that are stored.
    ``on_started`` is called with the core's runner once it runs. ``budget`` is that of the
    surrounding process, for the bodies that it holds.
    """
    budget = budget or ByteBudget(settings.bodies.total_bytes)
    publish_body_bytes(budget)
    disk = _open_disk(settings.data_folder)
    recovered = disk.recovered if disk is not None else Recovered()
    core = ProxyCore(core_settings(settings), random.Random(), recovered, budget=budget)
    finished = trio.Event()

    def on_output(output: Output) -> None:
        match output:
            case AnswerCall():
                count_answer(output)
                edge.answer(output)
            case ProxyReady():
                shell.set_ready()
            case StopFinished():
                finished.set()
            case SuspectLinksChanged(count):
                SUSPECT_LINKS.only.set(count)
            case ConfigurationApplied(configuration=configuration):
                DRAINED_ZONES.only.set(len(configuration.zone_drains))
                notify_host(output)
            case _:
                notify_host(output)

    runner = shell.add_core(core, on_output, disk=disk, role=Role.PROXY)
    edge = Edge(settings.edge, runner.post, settings.headers.names(), budget)
    async with trio.open_nursery() as nursery:
        shell.report_version(lambda: core.version)
        shell.report_freshness(lambda: core.fresh_at)
        shell.reloading.handle("relays", lambda relays: runner.post(PublishersListed(relays)))
        await nursery.start(runner.run)
        on_started(runner)
        edge_ended = await _start_edge(edge, settings, nursery)
        shell.on_abort.append(lambda: runner.post(StopLimitReached()))
        await shell.stop_requested.wait()
        listens_until = trio.current_time() + seconds(settings.edge.lame_duck_ms)
        runner.post(StopBegan(shell.stop_limit_at - FINAL_ANSWERS_SECONDS, listens_until))
        nursery.start_soon(_announce_stop_limit, shell.stop_limit_at, runner)
        edge.start_lame_duck()
        await trio.sleep_until(listens_until)
        edge.stop()
        await edge_ended.wait()
        runner.post(StopRequested())
        await finished.wait()
        nursery.cancel_scope.cancel()


async def _announce_stop_limit(limit_at: float, runner: CoreRunner) -> None:
    """Notify the core before and at the stop limit ``limit_at`` (seconds, monotonic)."""
    await trio.sleep_until(limit_at - CANCEL_QUEUED_LEAD_SECONDS)
    runner.post(StopLimitNear())
    await trio.sleep_until(limit_at - FINAL_ANSWERS_SECONDS)
    runner.post(StopLimitReached())


async def _start_edge(edge: Edge, settings: ProxySettings, nursery: trio.Nursery) -> trio.Event:
    """Start listening for callers; return an event that is set once the edge has stopped."""
    ended = trio.Event()

    async def serve(task_status: trio.TaskStatus[Address | Failure]) -> None:
        await edge.serve(seconds(settings.stop_limit_ms), task_status=task_status)
        ended.set()

    bound: Address | Failure = await nursery.start(serve)
    if isinstance(bound, Failure):
        raise ProcessFailedError(bound)
    fields: dict[str, object] = {"address": str(bound), "tls": bool(settings.edge.certificate)}
    write_event(events.EDGE_LISTENING, fields)
    return ended


def _open_disk(data_folder: str) -> FolderDisk | None:
    """Open the disk that persists the highest configuration version, if a folder is set."""
    if not data_folder:
        return None
    opened = open_data_folder(data_folder)
    if isinstance(opened, Failure):
        raise ProcessFailedError(opened)
    return opened
