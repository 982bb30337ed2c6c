"""Steps for how a connection is closed at once, over a pair of sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
import trio.testing
from behave import given, then, when

from limelever.transport.accepting import Accepted
from limelever.transport.streams import close_at_once, receive


class Turns(trio.abc.Instrument):
    """Counts the turns of the loop."""

    def __init__(self) -> None:
        self.count = 0

    def after_io_wait(self, timeout: float) -> None:
        self.count += 1


@given("a connection over a plain socket")
def given_plain(context):
    context.wrapped = False


@given("a connection over a wrapped socket")
def given_wrapped(context):
    context.wrapped = True


@when("it is closed at once")
def when_closed(context):
    trio.run(close, context, close_at_once, False)


@when("it is closed at once by a task that is cancelled")
def when_closed_cancelled(context):
    trio.run(close, context, close_at_once, True)


@when("its handler has closed it and the accept loop closes what it accepted")
def when_closed_twice(context):
    async def close_twice(stream: trio.SocketStream) -> None:
        await close_at_once(stream)
        await trio.aclose_forcefully(Accepted(stream))

    trio.run(close, context, close_twice, False)


@when("its handler has left it open and the accept loop closes what it accepted")
def when_left_open(context):
    async def close_accepted(stream: trio.SocketStream) -> None:
        await trio.aclose_forcefully(Accepted(stream))

    trio.run(close, context, close_accepted, False)


async def close(context, way: Callable[..., Awaitable[None]], cancelled: bool) -> None:
    ours, theirs = trio.socket.socketpair()
    plain, other = trio.SocketStream(ours), trio.SocketStream(theirs)
    context.waiter_error = None

    async def wait_to_read() -> None:
        try:
            await receive(plain, 1)
        except trio.ClosedResourceError as error:
            context.waiter_error = error

    turns = Turns()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_to_read)
        await trio.testing.wait_all_tasks_blocked()
        trio.lowlevel.add_instrument(turns)
        with trio.CancelScope() as scope:
            if cancelled:
                scope.cancel()
            await way(trio.StapledStream(plain, plain) if context.wrapped else plain)
        context.turns = turns.count
        trio.lowlevel.remove_instrument(turns)
    with trio.fail_after(5):
        context.read = await other.receive_some(1)
    await other.aclose()


@then("it took {turns:d} turns of the loop")
def then_turns(context, turns):
    assert context.turns == turns, context.turns


@then("its other end reads the end")
def then_end(context):
    assert context.read == b"", context.read


@then("whoever waited to read from it is told that it was closed")
def then_told(context):
    assert context.waiter_error is not None
