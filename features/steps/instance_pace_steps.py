"""Steps for the pace of an instance: parsed, reported to its zone, and used for balancing."""

from __future__ import annotations

from agent_harness import PROXY_CONNECTION
from balancing_steps import SERVICE, balancer_of, view_of
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from proxy_harness import agent_endpoints

from limelever.agent.interface import AttemptAnswered
from limelever.agent.load_header import parse_pace
from limelever.common.http_headers import HeaderNames
from limelever.common.sansio import SendMessage
from limelever.protocol.calls_pb2 import ResponseStart
from limelever.protocol.endpoint_news import EndpointNews, pack, unpack
from limelever.protocol.endpoints_pb2 import LoadReport, LoadUpdate

PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=100)
NOW = 20.0
PICKS = 40
PACE_STEP_PERMILLE = 20


@when('a back end\'s load header says "{header}"')
@when('a back end\'s load header says ""')
def header_says(context: Context, header: str = "") -> None:
    headers = ((b"x-load", header.encode()),) if header else ()
    context.pace = parse_pace(headers, HeaderNames(load=b"x-load"))


@then("its pace is {pace:d} permille")
def pace_is(context: Context, pace: int) -> None:
    assert context.pace == pace, context.pace


@when("the back end answers agent stream {stream:d} at a pace of {pace:d}")
def answers_at(context: Context, stream: int, pace: int) -> None:
    attempt = context.agent.attempt_of(stream)
    context.agent.handle(AttemptAnswered(attempt, 200, (), b"", pace))


@then('the agent has reported the paces "{paces}" to its relay')
@then('the agent has reported the paces "" to its relay')
def has_reported(context: Context, paces: str = "") -> None:
    sent = [output.message for output in context.agent.outputs_of(SendMessage)]
    reported = [message.pace_permille for message in sent if isinstance(message, LoadReport)]
    assert reported == [int(each) for each in paces.split(", ") if each], reported


@then("the last answer carries a pace of {pace:d}")
def last_carries(context: Context, pace: int) -> None:
    last = context.agent.sent(PROXY_CONNECTION, ResponseStart)[-1]
    assert last.load.pace_permille == pace, last


@given(
    "two equal endpoints of the zone, of which the first reports a pace of {factor:g} times the"
    " usual"
)
def given_two(context: Context, factor: float) -> None:
    endpoints = [agent_endpoints(1, "here", 12, number)[0] for number in range(2)]
    context.usable = view_of(endpoints).usable(SERVICE, 0.0)
    context.balancer, context.now = balancer_of(), NOW
    for entry in context.usable:
        context.balancer.observe_load(entry.key, 0, NOW, 0.1)
    context.balancer.observe_slowdown(context.usable[0].key, int(factor * 1000), NOW)


@when("{seconds:g} seconds pass without a further report")
def time_passes(context: Context, seconds: float) -> None:
    context.now += seconds


def chosen(context: Context) -> set[int]:
    """Return the indexes of the chosen endpoints, with all calls in flight at once."""
    indexes = []
    for _ in range(PICKS):
        entry = context.balancer.pick(context.usable, context.now, local_budget=1.0)
        indexes.append(context.usable.index(entry))
    return set(indexes)


@then("calls go to the second")
def go_to_second(context: Context) -> None:
    assert chosen(context) == {1}


@then("calls go to both")
def go_to_both(context: Context) -> None:
    assert chosen(context) == {0, 1}


NEWS = st.builds(EndpointNews, st.integers(0, 255), st.integers(0, 5_000))


@then("any endpoint update decodes to what was encoded, paces to within 20 permille")
def round_trips(context: Context) -> None:
    @PROPERTY
    @examples(st.dictionaries(st.integers(0, 2**32 - 1), NEWS, max_size=8))
    def check(updates) -> None:
        read = {each.number: each.news for each in unpack(pack("zone", updates))}
        assert read.keys() == updates.keys()
        for number, news in updates.items():
            assert read[number].load == news.load
            assert abs(read[number].pace_permille - news.pace_permille) <= PACE_STEP_PERMILLE

    check()


@then("an update without paces uses no bytes for them")
def no_bytes(context: Context) -> None:
    update = pack("zone", {7: EndpointNews(3)})
    assert update == LoadUpdate(zone="zone", endpoints=[7], loads=b"\x03")


@then("in a message with fewer paces than endpoints, the other paces are unknown")
def fewer_paces(context: Context) -> None:
    update = LoadUpdate(zone="zone", endpoints=[7, 8], loads=b"\x03\x04", paces=b"\x32")
    read = [each.news for each in unpack(update)]
    assert read == [EndpointNews(3, 1000), EndpointNews(4)], read
