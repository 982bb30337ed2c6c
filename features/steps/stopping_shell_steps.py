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
    words: list[str] = field(default_factory=list)


async def stop_then_set_ready(seen):
    async with trio.open_nursery() as nursery:
        shell = ProcessShell(SETTINGS, nursery, 0, "")
        shell.begin_stop()
        shell.set_ready()
        seen.was_ready = shell.ready
        nursery.cancel_scope.cancel()


async def cut_with_last_words(seen):
    async with trio.open_nursery() as nursery:
        shell = ProcessShell(SETTINGS, nursery, 0, "")
        shell.last_words.append(lambda: seen.words.append(f"{nursery.cancel_scope.cancel_called}"))
        shell.cut()


@when("a process is said to be ready after its stop began")
def when_ready_late(context):
    context.seen = SeenByShell()
    trio.run(stop_then_set_ready, context.seen)


@then("that process does not say that it is ready")
def then_not_ready(context):
    assert not context.seen.was_ready


@when("a process that has last words is cut")
def when_cut(context):
    context.seen = SeenByShell()
    trio.run(cut_with_last_words, context.seen)


@then("they were said once, before anything was cancelled")
def then_said(context):
    assert context.seen.words == ["False"], context.seen.words
