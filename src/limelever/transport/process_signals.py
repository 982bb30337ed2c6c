"""SIGTERM, SIGINT and SIGHUP of a long-running process, and the limit of its planned stop."""

from __future__ import annotations

import os
import signal
from functools import partial
from typing import Protocol

import trio

from limelever.common import events
from limelever.common.settings import ProcessSettings
from limelever.transport.log import write_event
from limelever.transport.reload import Reloading

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class StoppableProcess(Protocol):
    """What signals act on: a process that can be stopped as planned, or at once.

    ``stop_limit_at`` is when a planned stop that has begun is cut short (seconds, monotonic).
    """

    settings: ProcessSettings
    reloading: Reloading
    stop_requested: trio.Event
    stop_limit_at: float

    def begin_stop(self) -> None:
        """Begin the planned stop."""

    def abort(self) -> None:
        """End the process at once."""


async def watch_signals(
    process: StoppableProcess, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Act on the process's signals: begin the planned stop, or read the settings again."""
    # The receiver gives SIGTERM back to this as it closes, before the event loop has ended.
    signal.signal(signal.SIGTERM, partial(_end_unless_stopping, process))
    with trio.open_signal_receiver(*_SIGNALS) as received:
        task_status.started()
        async for number in received:
            if number == signal.SIGHUP:
                process.reloading.reload(signal.Signals(number).name)
            elif not process.stop_requested.is_set():
                write_event(events.PROCESS_STOPPING, {"reason": signal.Signals(number).name})
                process.begin_stop()
            elif number == signal.SIGINT:
                process.abort()
                return
            # A process manager may send SIGTERM more than once.


def ignore_sigterm() -> None:
    """Let SIGTERM change nothing any more: the event loop has ended, and the process is about to.

    Not by a function: Python gives those back to the system's default as it ends.
    """
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def _end_unless_stopping(process: StoppableProcess, number: int, _: object) -> None:
    """Take SIGTERM while the receiver is closed: it ends the process, but for a planned stop."""
    if not process.stop_requested.is_set():
        signal.signal(number, signal.SIG_DFL)
        os.kill(os.getpid(), number)


async def enforce_stop_limit(process: StoppableProcess) -> None:
    """Abort the process once the limit of its planned stop has passed."""
    await trio.sleep_until(process.stop_limit_at)
    write_event(events.STOP_LIMIT_PASSED, {"limit_ms": process.settings.stop_limit_ms})
    process.abort()
