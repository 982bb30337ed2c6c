"""Steps for instances that answer with what is no final response."""

from __future__ import annotations

import trio
from behave import then, when

from limelever.agent.backend_client import BackendClient
from limelever.agent.interface import StartAttempt
from limelever.agent.settings import BackendSettings
from limelever.common.sansio import Address

DEADLINE_SECONDS = 20.0
AT_ONCE_SECONDS = 5.0
BODY = b"\r\ncontent-length: 2\r\n\r\nok"


class OneAnswer:
    """Answers each connection's first request with the same bytes, and waits for its close."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.closed = 0

    async def handle(self, stream):
        await stream.receive_some(65536)
        await stream.send_all(self._data)
        try:
            while await stream.receive_some(65536):
                pass
        except trio.BrokenResourceError:
            pass
        self.closed += 1


async def with_client(instance, use):
    """Call ``use`` with a client of the instance, and the events that the client posts."""
    events = []
    with trio.fail_after(DEADLINE_SECONDS / 2):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, instance.handle, 0)
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            client = BackendClient(BackendSettings(address=address), nursery, events.append)
            result = await use(client, events)
            nursery.cancel_scope.cancel()
    return result


@when("an instance answers with {head} and a body, and nothing more")
def when_answers(context, head):
    instance = OneAnswer(head.encode() + BODY)

    async def call(client, events):
        client.start(StartAttempt(1, "s", b"GET", b"/", (), b"", DEADLINE_SECONDS))
        with trio.move_on_after(AT_ONCE_SECONDS):
            while not (events and instance.closed):
                await trio.sleep(0.005)
        context.closed = instance.closed
        return list(events)

    context.events = trio.run(with_client, instance, call)


@then("the instance's connection was closed at once")
def then_closed(context):
    assert context.closed == 1, context.closed


@then("a health probe that gets {head} finds the instance {state}")
def then_probed(_context, head, state):
    async def probe(client, _events):
        return await client.probe("/health", AT_ONCE_SECONDS)

    result = trio.run(with_client, OneAnswer(head.encode() + BODY), probe)
    assert result.healthy is (state == "healthy"), result
