"""Steps for the shell of a process that stops."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio
from behave import then, when
from faulty_role import SETTINGS

from limelever.transport.process import ProcessShell


@dataclass
class SeenByShell:
    """What a stopping shell did, in its order."""

    was_ready: bool = False
    called: list[str] = field(default_factory=list)


async def stop_then_set_ready(seen):
    async with trio.open_nursery() as nursery:
        shell = ProcessShell(SETTINGS, nursery, 0, "")
        shell.begin_stop()
        shell.set_ready()
        seen.was_ready = shell.ready
        nursery.cancel_scope.cancel()


async def abort_with_callback(seen):
    async with trio.open_nursery() as nursery:
        shell = ProcessShell(SETTINGS, nursery, 0, "")
        shell.on_abort.append(lambda: seen.called.append(f"{nursery.cancel_scope.cancel_called}"))
        shell.abort()


@when("a process is said to be ready after its stop began")
def when_ready_late(context):
    context.seen = SeenByShell()
    trio.run(stop_then_set_ready, context.seen)


@then("that process does not say that it is ready")
def then_not_ready(context):
    assert not context.seen.was_ready


@when("a process with a callback for its abortion is aborted")
def when_aborted(context):
    context.seen = SeenByShell()
    trio.run(abort_with_callback, context.seen)


@then("that callback was called once, before anything was cancelled")
def then_called(context):
    assert context.seen.called == ["False"], context.seen.called
