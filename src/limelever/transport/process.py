"""Life cycle of a long-running process: start, readiness, planned stop, failure."""

from __future__ import annotations

import gc
import math
import ssl
import sys
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

import trio
from msgspec.structs import replace

from limelever.common import events
from limelever.common.errors import Failure
from limelever.common.sansio import Address, Core, Output, Purpose, Role
from limelever.common.settings import ProcessSettings, seconds
from limelever.transport.allocator import return_large_blocks
from limelever.transport.clock import BootTimeClock
from limelever.transport.disk_writer import Disk
from limelever.transport.faults import report_fault
from limelever.transport.links import LinkIdentity
from limelever.transport.listener import LinkListener
from limelever.transport.log import configure_logging, write_event
from limelever.transport.metrics import (
    CONFIGURATION_VERSION,
    READY,
    publish_configuration_age,
)
from limelever.transport.process_signals import (
    enforce_stop_limit,
    ignore_sigterm,
    watch_signals,
)
from limelever.transport.reload import Reloading, SettingsFile
from limelever.transport.runner import CoreRunner
from limelever.transport.tls import (
    certificate_kept_current,
    client_context,
    files_of,
    server_context,
)

EXIT_OK = 0
EXIT_FAILED = 1
_OBJECTS_BETWEEN_COLLECTIONS = 5000
"""Objects made and not freed between two collections; Python's own 700 is a call's worth or two."""

FINAL_ANSWERS_SECONDS = 0.2
"""Time before the limit of a stop at which open requests are answered, so that the responses are
sent before the process ends."""


class ProcessFailedError(Exception):
    """Ends the process; carries the failure that is its reason."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


def required(value: ssl.SSLContext | None | Failure) -> ssl.SSLContext | None:
    """Return a context, or end the process with the reason there is none."""
    if isinstance(value, Failure):
        raise ProcessFailedError(value)
    return value


class ProcessShell:
    """What a role's main function works with: cores, listeners, stop and readiness."""

    def __init__(
        self,
        settings: ProcessSettings,
        nursery: trio.Nursery,
        incarnation: int,
        identity: str,
        source: SettingsFile | None = None,
    ) -> None:
        self.settings = settings
        self.reloading = Reloading(settings, source)
        self.nursery = nursery
        self.stop_requested = trio.Event()
        self.stop_limit_at = math.inf
        self.on_abort: list[Callable[[], None]] = []
        self.ready = False
        READY.only.function = lambda: float(self.ready)
        self.incarnation = incarnation
        self.link_identity = LinkIdentity(
            role=settings.role,
            name=settings.name,
            zone=settings.zone,
            credential=settings.credentials.own,
            identity=identity,
            incarnation=incarnation,
        )
        self.client_context = required(client_context(settings.tls))
        self._failure: Failure | None = None
        self._failed = trio.Event()
        self.listener = LinkListener(
            identity=self.link_identity,
            settings=settings.links,
            accepted=settings.credentials.accepted,
            context=required(server_context(settings.tls)),
        )

    def add_core(
        self,
        core: Core,
        on_output: Callable[[Output], None],
        *,
        accepts: Iterable[Purpose] = (),
        disk: Disk | None = None,
        role: Role | None = None,
        listener: LinkListener | None = None,
    ) -> CoreRunner:
        """Make the runner of a core; the caller starts its ``run`` in a nursery.

        ``role`` is what the core is in a process that hosts several; ``listener`` the one on
        which it accepts links, where the process has another than its first.
        """
        runner = CoreRunner(
            core,
            identity=replace(self.link_identity, role=role or self.settings.role),
            settings=self.settings.links,
            context=self.client_context,
            on_output=on_output,
            on_failure=self.fail,
            disk=disk,
        )
        for purpose in accepts:
            (listener or self.listener).runners[purpose] = runner
        return runner

    def report_version(self, version: Callable[[], int]) -> None:
        """Give /metrics the configuration version in force in this process."""
        CONFIGURATION_VERSION.only.function = version

    def report_freshness(self, fresh_at: Callable[[], float | None]) -> None:
        """Give /metrics the age of the configuration in force.

        ``fresh_at`` returns when it was last proved current (seconds, monotonic), or ``None``.
        """

        def age() -> float:
            proved = fresh_at()
            return math.inf if proved is None else trio.current_time() - proved

        publish_configuration_age(age)

    def new_listener(self, role: Role) -> LinkListener:
        """Make one more listener, for the links of a co-hosted core."""
        return LinkListener(
            identity=replace(self.link_identity, role=role),
            settings=self.settings.links,
            accepted=self.settings.credentials.accepted,
            context=self.listener.context,
        )

    async def listen(self, address: Address, listener: LinkListener | None = None) -> Address:
        """Start accepting links; returns the bound address."""
        serve = (listener or self.listener).serve
        bound = await self.nursery.start(serve, address, self.nursery)
        if isinstance(bound, Failure):
            raise ProcessFailedError(bound)
        assert isinstance(bound, Address)
        return bound

    def set_ready(self) -> None:
        """Say that the process serves, unless it stops."""
        if not self.ready and not self.stop_requested.is_set():
            self.ready = True
            fields: dict[str, object] = {
                "role": self.settings.role.value,
                "name": self.settings.name,
            }
            write_event(events.PROCESS_READY, fields)

    def begin_stop(self) -> None:
        """Begin the planned stop; it has ``stop_limit_ms`` from now on."""
        self.ready = False
        self.stop_limit_at = trio.current_time() + seconds(self.settings.stop_limit_ms)
        self.stop_requested.set()
        self.nursery.start_soon(enforce_stop_limit, self)

    def abort(self) -> None:
        """End the process at once, after the callbacks of ``on_abort`` answered all open requests.

        They are called here and are no tasks of their own: a process that was held up finds all
        its deadlines passed at once, and which of its tasks runs first is not known.
        """
        for answer_open in self.on_abort:
            answer_open()
        self.nursery.cancel_scope.cancel()

    def fail(self, failure: Failure) -> None:
        """End the process with a failure; the first one given is reported."""
        if self._failure is None:
            self._failure = failure
            self._failed.set()

    async def wait_failed(self) -> None:
        """Raise ``ProcessFailedError`` once :meth:`fail` was called."""
        await self._failed.wait()
        assert self._failure is not None
        raise ProcessFailedError(self._failure)


RoleMain = Callable[[ProcessShell], Awaitable[None]]


def run_role(
    settings: ProcessSettings,
    main: RoleMain,
    *,
    incarnation: int = 0,
    identity: str = "",
    source: SettingsFile | None = None,
) -> int:
    """Run a role to its end and return the exit status.

    ``main`` builds its cores, serves, waits for ``stop_requested``, finishes what is in
    flight and returns. SIGTERM and SIGINT request the stop; SIGINT during a stop ends at once.
    SIGHUP has the settings read again from ``source``.
    """
    try:
        configure_logging(settings.log, settings.role.value, settings.name)
    except OSError as error:
        print(f"log.file: {settings.log.file}: {error.strerror or error}", file=sys.stderr)
        return EXIT_FAILED
    fields: dict[str, object] = {"role": settings.role.value, "name": settings.name}
    write_event(events.PROCESS_STARTED, fields)
    status = EXIT_OK
    _spare_collections()
    return_large_blocks()
    try:
        trio.run(_run, settings, main, incarnation, identity, source, clock=BootTimeClock())
    except BaseException as error:
        status = _report_failure(error)
    ignore_sigterm()
    write_event(events.PROCESS_STOPPED, {"status": status})
    return status


def _spare_collections() -> None:
    """Keep the garbage collector from what will live as long as the process.

    Modules, classes and generated code are most of the objects that a full collection looks at.
    """
    gc.freeze()
    gc.set_threshold(_OBJECTS_BETWEEN_COLLECTIONS)


def _report_failure(error: BaseException) -> int:
    """Write why the process ends; whatever is not a failure is a fault of the program."""
    for leaf in _leaves(error):
        if isinstance(leaf, ProcessFailedError):
            write_event(events.PROCESS_FAILED, {"reason": str(leaf)})
        elif not isinstance(leaf, trio.Cancelled):
            write_event(events.PROCESS_FAILED, {"reason": str(report_fault(leaf))})
    return EXIT_FAILED


def _leaves(error: BaseException) -> list[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for child in error.exceptions for leaf in _leaves(child)]


async def _run(
    settings: ProcessSettings,
    main: RoleMain,
    incarnation: int,
    identity: str,
    source: SettingsFile | None,
) -> None:
    async with trio.open_nursery() as nursery:
        shell = ProcessShell(settings, nursery, incarnation, identity, source)
        nursery.start_soon(shell.wait_failed)
        await nursery.start(watch_signals, shell)
        nursery.start_soon(shell.reloading.watch)
        if settings.admin is not None:
            await _start_admin(shell, settings.admin)
        contexts = [shell.client_context, shell.listener.context]
        used = [context for context in contexts if context is not None]
        async with certificate_kept_current(used, files_of(settings.tls)):
            await main(shell)
        nursery.cancel_scope.cancel()


async def _start_admin(shell: ProcessShell, address: Address) -> None:
    # Imported here: the HTTP server is memory that a process without a monitor need not spend.
    from limelever.transport.admin import serve_admin

    serve = partial(serve_admin, address, lambda: shell.ready)
    bound: Address | Failure = await shell.nursery.start(serve)
    if isinstance(bound, Failure):
        raise ProcessFailedError(bound)
