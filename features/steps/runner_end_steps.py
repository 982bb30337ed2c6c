"""Steps for a core that asks for something when its runner has ended."""

from __future__ import annotations

from functools import partial

import trio
from behave import then, when

from limelever.common.sansio import (
    Address,
    ConnectionClosed,
    OpenConnection,
    Purpose,
    Role,
)
from limelever.common.settings import LinkSettings
from limelever.transport.links import LinkIdentity
from limelever.transport.runner import CoreRunner

LOST, ANOTHER = 0, 2


class ReplacingCore:
    """Dials anew whenever a link is lost."""

    def handle(self, event, now):
        if not isinstance(event, ConnectionClosed):
            return []
        return [OpenConnection(ANOTHER, Address("127.0.0.1", 1), Purpose.CALLS)]

    def next_deadline(self):
        return None


@when("a link is lost just as the runner of a core that dials anew has ended")
def lose_link_at_the_end(context):
    context.failures = []
    runner = CoreRunner(
        ReplacingCore(),
        identity=LinkIdentity(Role.PROXY, "proxy-1", "one", "", "", 0),
        settings=LinkSettings(),
        context=None,
        on_output=lambda output: None,
        on_failure=context.failures.append,
    )
    trio.run(partial(end_and_lose, runner))


async def end_and_lose(runner):
    async with trio.open_nursery() as nursery:
        await nursery.start(runner.run)
        nursery.cancel_scope.cancel()
    runner.post(ConnectionClosed(LOST, "the process ends"))


@then("that runner has reported no fault")
def check_no_fault(context):
    assert not context.failures, context.failures
