"""Steps for a caller's patience, against a proxy that is out for some virtual time."""

from __future__ import annotations

import httpcore
import trio
import trio.testing
from behave import given, then, when

from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.load.caller import Caller, CallerSettings
from limelever_lab.load.calls import ArrivalSettings, draw_calls
from limelever_lab.standins.backend import BODY_DIGEST_HEADER, CALL_ID_HEADER, body_digest

SEED = 7


class OutPool:
    """Refuses connections until ``back_at`` and answers as a back end does after that."""

    def __init__(self, call, back_at):
        self._call = call
        self._back_at = back_at

    async def request(self, *_arguments, **_options):
        await trio.sleep(0.01)
        if trio.current_time() < self._back_at:
            raise httpcore.ConnectError("refused")
        headers = {
            CALL_ID_HEADER: self._call.call_id,
            BODY_DIGEST_HEADER: body_digest(self._call.body),
        }
        content = self._call.call_id.encode()
        response = httpcore.Response(200, headers=list(headers.items()), content=content)
        response.read()
        return response


@given("a proxy that is out for {seconds:d} seconds of virtual time")
def given_out(context, seconds):
    context.out_seconds = seconds


@when(
    "a call with a patience of {patience:d} seconds counted from {start} is made"
    " and calls stop after {stop:d} seconds"
)
def when_made(context, patience, start, stop):
    settings = CallerSettings(patience=patience, counts_from_stop=start == "the stop")
    classes = load_deployment("koszyk").calls
    call = next(draw_calls(classes, 1, ArrivalSettings(1.0, SEED)))

    async def make():
        pool = OutPool(call, trio.current_time() + context.out_seconds)
        caller = Caller(("http://127.0.0.1",), (pool,), settings)
        async with trio.open_nursery() as nursery:

            async def stop_later():
                await trio.sleep(stop)
                caller.stop()

            nursery.start_soon(stop_later)
            context.record = await caller.make(call)

    trio.run(make, clock=trio.testing.MockClock(autojump_threshold=0))


@then('the call\'s fate is "{fate}"')
def then_fate(context, fate):
    assert context.record.fate.name.lower() == fate, context.record
