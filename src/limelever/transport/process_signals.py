"""SIGTERM, SIGINT and SIGHUP of a long-running process, and the limit of its planned stop."""

from __future__ import annotations

import os
import signal
from functools import partial
from typing import TYPE_CHECKING

import trio

from limelever.common import events
from limelever.transport.log import write_event

if TYPE_CHECKING:
    from limelever.transport.process import ProcessShell

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def watch_signals(
    shell: ProcessShell, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Act on the process's signals: begin the planned stop, or read the settings again."""
    # The receiver gives SIGTERM back to this as it closes, before the event loop has ended.
    signal.signal(signal.SIGTERM, partial(_end_unless_stopping, shell))
    with trio.open_signal_receiver(*_SIGNALS) as received:
        task_status.started()
        async for number in received:
            if number == signal.SIGHUP:
                shell.reloading.reload(signal.Signals(number).name)
            elif not shell.stop_requested.is_set():
                write_event(events.PROCESS_STOPPING, {"reason": signal.Signals(number).name})
                shell.begin_stop()
            elif number == signal.SIGINT:
                shell.abort()
                return
            # Another SIGTERM changes nothing: whoever manages the process may ask twice.


def ignore_sigterm() -> None:
    """Let SIGTERM change nothing any more: the event loop has ended, and the process is about to.

    Not by a function: Python gives those back to the system's default as it ends.
    """
    signal.signal(signal.SIGTERM, signal.SIG_IGN)


def _end_unless_stopping(shell: ProcessShell, number: int, _: object) -> None:
    """Take SIGTERM while the receiver is closed: it ends the process, but for a planned stop."""
    if not shell.stop_requested.is_set():
        signal.signal(number, signal.SIG_DFL)
        os.kill(os.getpid(), number)


async def enforce_stop_limit(shell: ProcessShell) -> None:
    """Abort the process once the limit of its planned stop has passed."""
    await trio.sleep_until(shell.stop_limit_at)
    write_event(events.STOP_LIMIT_PASSED, {"limit_ms": shell.settings.stop_limit_ms})
    shell.abort()
