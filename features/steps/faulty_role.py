"""A role with a fault in a chosen place, run as a process of its own by the steps."""

from __future__ import annotations

import atexit
import os
import signal
import sys
from functools import partial
from typing import Any

import httpcore
import trio

from limelever.common.sansio import Address, Role
from limelever.common.settings import CredentialSettings, ProcessSettings
from limelever.transport.events import ADMIN_CONNECTION_FAILED, ADMIN_CONNECTION_LIMIT
from limelever.transport.http_guard import (
    GuardOptions,
    application_service,
    bound_address,
    open_listeners,
    serve_guarded,
)
from limelever.transport.http_limits import HttpLimits
from limelever.transport.process import ProcessShell, run_role

SETTINGS = ProcessSettings(
    role=Role.RELAY, name="faulty", zone="zone-a", credentials=CredentialSettings(own="unused")
)
OPTIONS = GuardOptions(
    listener="test",
    connection_limit=4,
    stop_limit=1.0,
    failed_event=ADMIN_CONNECTION_FAILED,
    limit_event=ADMIN_CONNECTION_LIMIT,
)


class FaultyCore:
    """Fails at the event ``fault``, at once or when it is asked for its next deadline."""

    def __init__(self, fault: str, at_once: bool = True) -> None:
        self._fault = fault
        self._at_once = at_once
        self._met = False

    def handle(self, event: Any, now: float) -> list[Any]:
        self._met = event == self._fault or type(event).__name__ == self._fault
        if self._met and self._at_once:
            raise KeyError("the fault of this test")
        return []

    def next_deadline(self) -> None:
        if self._met:
            raise KeyError("the fault of this test")


async def fault_in_core(shell: ProcessShell) -> None:
    runner = shell.add_core(FaultyCore("Started"), lambda output: None)
    await runner.run()


async def fault_in_main(shell: ProcessShell) -> None:
    raise KeyError("the fault of this test")


async def fault_in_http_caller(shell: ProcessShell, at_once: bool = True) -> None:
    """Post the event that the core fails at from within a request, which is guarded."""
    runner = shell.add_core(FaultyCore("request", at_once), lambda output: None)

    async def application(scope: Any, receive: Any, send: Any) -> None:
        runner.post("request")
        await trio.sleep_forever()

    listeners = await open_listeners(Address("127.0.0.1", 0), None, "test listener")
    address = bound_address(listeners)
    async with trio.open_nursery() as nursery:
        await nursery.start(runner.run)
        service = application_service(application, HttpLimits(idle=5.0), 1024)
        nursery.start_soon(partial(serve_guarded, service, listeners, OPTIONS, trio.Event()))
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request("GET", f"http://{address}/")


def ask_to_stop() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


async def stop_and_again(shell: ProcessShell, when_to_ask_again: str) -> None:
    """Stop as planned, with a second SIGTERM after the signals' receiver has closed."""
    if when_to_ask_again == "exit":
        atexit.register(ask_to_stop)
    ask_to_stop()
    await shell.stop_requested.wait()
    if when_to_ask_again == "loop":
        trio.lowlevel.add_instrument(AskAtTheEnd())


class AskAtTheEnd(trio.abc.Instrument):
    """Asks once more as the event loop ends."""

    def after_run(self) -> None:
        ask_to_stop()


PLACES = {
    "second SIGTERM at the loop's end": partial(stop_and_again, when_to_ask_again="loop"),
    "second SIGTERM at the process's exit": partial(stop_and_again, when_to_ask_again="exit"),
    "core": fault_in_core,
    "main": fault_in_main,
    "HTTP caller": fault_in_http_caller,
    "deadline after an HTTP caller": partial(fault_in_http_caller, at_once=False),
}

if __name__ == "__main__":
    sys.exit(run_role(SETTINGS, PLACES[sys.argv[1]]))
