"""Has the leaves of the instance beside a node stored by a relay before they are acknowledged.

An acknowledgement is binding beyond the life of the node, which has no disk. So a leave that no
relay has stored isn't acknowledged: the agent accepts no more calls all the same, the node goes on
reporting the leave to relays, and the instance repeats it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import trio

from limelever.agent.events import LEAVE_ACKNOWLEDGED
from limelever.common.departed_runs import DepartedRun
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Event
from limelever.proxy.call_types import RunDeparted
from limelever.transport.log import write_event

STORE_LIMIT_SECONDS = 0.5
"""How long the response to a leave waits for a relay. An instance waits for a second, of which the
rest is for a busy node."""

MAX_LEAVES = 256
_MILLISECONDS_PER_SECOND = 1000


class Leaves:
    """The leaves that this process has learned, and whether a relay has stored them."""

    def __init__(self) -> None:
        self._post: Callable[[Event], None] | None = None
        self._stored: OrderedDict[DepartedRun, trio.Event] = OrderedDict()

    def proxy_started(self, post: Callable[[Event], None]) -> None:
        """Report the leaves through the proxy from now on."""
        self._post = post
        for run, stored in self._stored.items():
            if not stored.is_set():
                post(RunDeparted(run))

    def announce(self, run: DepartedRun) -> None:
        """Have a leave stored; no effect if that was requested before."""
        if run in self._stored:
            return
        self._stored[run] = trio.Event()
        if len(self._stored) > MAX_LEAVES:
            self._stored.popitem(last=False)
        if self._post is not None:
            self._post(RunDeparted(run))

    def stored(self, run: DepartedRun) -> None:
        """Record that a relay has stored a leave."""
        if run in self._stored:
            self._stored[run].set()

    async def wait_stored(self, run: DepartedRun) -> bool:
        """Wait until a leave is stored; return whether it was in time."""
        stored = self._stored.get(run)
        if stored is None:
            return False
        if stored.is_set():
            return True
        begun = trio.current_time()
        with trio.move_on_after(STORE_LIMIT_SECONDS):
            await stored.wait()
        waited = trio.current_time() - begun
        fields: dict[str, object] = {
            "instance": run.instance,
            "stored": stored.is_set(),
            "milliseconds": int(waited * _MILLISECONDS_PER_SECOND),
        }
        write_event(LEAVE_ACKNOWLEDGED, fields)
        return stored.is_set()


def unstored_refusal(*, stored: bool, stopping: bool) -> Failure | None:
    """Return why a leave is not acknowledged, or ``None``.

    A stopping process whose proxy has ended reaches no relay any more. Its successor, which the
    instance calls next, takes the leave.
    """
    if stored:
        return None
    if stopping:
        return Failure(ErrorKind.DRAINING, "the process stops, and no relay has stored the leave")
    return Failure(ErrorKind.NO_QUORUM, "no relay has stored the leave yet")
