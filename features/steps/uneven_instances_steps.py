"""Steps for the pace of an instance: read from its answers, told to its zone, acted on."""

from __future__ import annotations

from agent_bench import PROXY_LINK
from balancing_steps import SERVICE, balancer_of, view_of
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from proxy_host import agents

from limelever.agent.interface import AttemptAnswered
from limelever.agent.load_header import pace_in
from limelever.common.http_headers import HeaderNames
from limelever.common.sansio import SendMessage
from limelever.protocol.calls_pb2 import ResponseStart
from limelever.protocol.endpoint_news import EndpointNews, pack, unpack
from limelever.protocol.endpoints_pb2 import LoadReport, LoadUpdate

PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=100)
NOW = 20.0
PICKS = 40
PACE_STEP = 20


@when('a back end\'s load header says "{header}"')
@when('a back end\'s load header says ""')
def header_says(context: Context, header: str = "") -> None:
    headers = ((b"x-load", header.encode()),) if header else ()
    context.pace = pace_in(headers, HeaderNames(load=b"x-load"))


@then("its pace is {pace:d} thousandths")
def pace_is(context: Context, pace: int) -> None:
    assert context.pace == pace, context.pace


@when("the back end answers agent stream {stream:d} at a pace of {pace:d}")
def answers_at(context: Context, stream: int, pace: int) -> None:
    attempt = context.agent.attempt_of(stream)
    context.agent.tell(AttemptAnswered(attempt, 200, (), b"", pace))


@then('the agent has told its relay the paces "{paces}"')
@then('the agent has told its relay the paces ""')
def has_told(context: Context, paces: str = "") -> None:
    sent = [output.message for output in context.agent.of(SendMessage)]
    told = [message.pace_permille for message in sent if isinstance(message, LoadReport)]
    assert told == [int(each) for each in paces.split(", ") if each], told


@then("the last answer carries a pace of {pace:d}")
def last_carries(context: Context, pace: int) -> None:
    last = context.agent.sent(PROXY_LINK, ResponseStart)[-1]
    assert last.load.pace_permille == pace, last


@given(
    "two like endpoints of the zone, of which the first says that it takes {factor:g} times as long"
)
def given_two(context: Context, factor: float) -> None:
    endpoints = [agents(1, "here", 12, number)[0] for number in range(2)]
    context.usable = view_of(endpoints).usable(SERVICE, 0.0)
    context.balancer, context.now = balancer_of(), NOW
    for entry in context.usable:
        context.balancer.observe_load(entry.key, 0, NOW, 0.1)
    context.balancer.observe_slowdown(context.usable[0].key, int(factor * 1000), NOW)


@when("{seconds:g} seconds pass without word of it")
def time_passes(context: Context, seconds: float) -> None:
    context.now += seconds


def chosen(context: Context) -> set[int]:
    """Return the places of the endpoints that calls go to, each in flight while others come."""
    places = []
    for _ in range(PICKS):
        entry = context.balancer.pick(context.usable, context.now, local_budget=1.0)
        places.append(context.usable.index(entry))
    return set(places)


@then("calls go to the second")
def go_to_second(context: Context) -> None:
    assert chosen(context) == {1}


@then("calls go to both")
def go_to_both(context: Context) -> None:
    assert chosen(context) == {0, 1}


NEWS = st.builds(EndpointNews, st.integers(0, 255), st.integers(0, 5_000))


@then("any news of endpoints comes out as it went in, paces to 20 thousandths")
def comes_out(context: Context) -> None:
    @PROPERTY
    @examples(st.dictionaries(st.integers(0, 2**32 - 1), NEWS, max_size=8))
    def check(told) -> None:
        read = {each.number: each.news for each in unpack(pack("zone", told))}
        assert read.keys() == told.keys()
        for number, news in told.items():
            assert read[number].load == news.load
            assert abs(read[number].pace_permille - news.pace_permille) <= PACE_STEP

    check()


@then("news without paces takes no bytes for them")
def no_bytes(context: Context) -> None:
    update = pack("zone", {7: EndpointNews(3)})
    assert update == LoadUpdate(zone="zone", endpoints=[7], loads=b"\x03")


@then("a message whose paces are cut short is read as far as they go")
def cut_short(context: Context) -> None:
    update = LoadUpdate(zone="zone", endpoints=[7, 8], loads=b"\x03\x04", paces=b"\x32")
    read = [each.news for each in unpack(update)]
    assert read == [EndpointNews(3, 1000), EndpointNews(4)], read
