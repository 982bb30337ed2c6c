"""Steps for what a proxy does about a link on which an agent's machine has vanished."""

from __future__ import annotations

import attrs
from agent_harness import PROXY_CONNECTION
from behave import given, then, when
from behave.runner import Context
from proxy_harness import FIRST_AGENT_PORT, RELAY, SERVICE, ProxyHarness
from tenant_steps import proxy_settings

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import MessageReceived, SendMessage
from limelever.common.settings import HeaderSettings
from limelever.protocol.calls_pb2 import CallStart, LinkProbe, LinkProbeAnswer
from limelever.protocol.endpoint_hash import endpoint_hash
from limelever.protocol.endpoints_pb2 import LoadUpdate
from limelever.protocol.feature_level import LINK_PROBE_LEVEL
from limelever.proxy import events
from limelever.proxy.call_types import CallAnswer
from limelever.proxy.process import core_settings
from limelever.proxy.settings import CallLimitSettings

CALLS_FOR_BUDGET = 40


def connection_to(proxy: ProxyHarness, port: int) -> int:
    return next(number for number, link in proxy.links.items() if link.address.port == port)


def port_of(proxy: ProxyHarness, connection: int) -> int:
    return proxy.links[connection].address.port


def answer_all(proxy: ProxyHarness) -> None:
    for attempt in tuple(proxy.open_attempts):
        proxy.answer(*attempt)


def is_suspect(proxy: ProxyHarness, connection: int) -> bool:
    return proxy.core._silent_links._silence.is_suspect(connection)


def suspects(proxy: ProxyHarness) -> list[int]:
    return [connection for connection in proxy.links if is_suspect(proxy, connection)]


def open_links(proxy: ProxyHarness) -> None:
    """Open the links to both agents, and answer all calls."""
    while len({port for c in proxy.links if (port := port_of(proxy, c)) >= FIRST_AGENT_PORT}) < 2:
        proxy.ask("/orders/1")
    answer_all(proxy)


def lose_one_call(proxy: ProxyHarness, order: bool) -> tuple[int, CallStart]:
    """Send one call, and let the machine of its agent vanish; return the attempt."""
    call = proxy.place_order("lost") if order else proxy.ask("/orders/1")
    (attempt,) = proxy.open_attempts
    proxy.lost_call = call
    proxy.lost_connection, proxy.lost_start = attempt
    proxy.lost_port = port_of(proxy, attempt[0])
    proxy.silent_ports = {proxy.lost_port}
    return attempt


def hear_another(proxy: ProxyHarness) -> None:
    other = next(
        c
        for c in proxy.links
        if port_of(proxy, c) >= FIRST_AGENT_PORT and c != proxy.lost_connection
    )
    proxy.post(MessageReceived(other, LinkProbeAnswer(number=0)))


def suspect_one(context: Context, order: bool = False, budget: bool = False) -> None:
    proxy = context.proxy = ProxyHarness(2, agent_level=LINK_PROBE_LEVEL).start()
    open_links(proxy)
    if budget:
        for _ in range(CALLS_FOR_BUDGET):
            proxy.ask("/orders/1")
            proxy.place_order(f"earn-{proxy.last_call}")
            answer_all(proxy)
    lose_one_call(proxy, order)
    proxy.advance(0.5)
    hear_another(proxy)
    proxy.advance(0.1)


@given("a proxy with 2 endpoints whose agents answer probes")
def probed_agents(context: Context) -> None:
    context.proxy = ProxyHarness(2, agent_level=LINK_PROBE_LEVEL).start()
    open_links(context.proxy)


@given("a proxy with 2 endpoints whose agents are of level {level:d}")
def older_agents(context: Context, level: int) -> None:
    context.proxy = ProxyHarness(2, agent_level=level).start()
    open_links(context.proxy)


@given("a proxy with 2 endpoints and a silence time of 0")
def switched_off(context: Context) -> None:
    context.proxy = ProxyHarness(2, agent_level=LINK_PROBE_LEVEL, link_silence=0.0).start()
    open_links(context.proxy)


@given("a proxy with 2 endpoints, one of which is suspect")
def one_suspect(context: Context) -> None:
    suspect_one(context)
    assert suspects(context.proxy) == [context.proxy.lost_connection]


@given("a proxy with 2 endpoints, one of which is suspect, and a retry budget")
def one_suspect_with_budget(context: Context) -> None:
    suspect_one(context, budget=True)
    assert suspects(context.proxy) == [context.proxy.lost_connection]


@given("a proxy with 2 endpoints, one of which is suspect with an order, and a retry budget")
def one_suspect_with_order(context: Context) -> None:
    suspect_one(context, order=True, budget=True)
    assert suspects(context.proxy) == [context.proxy.lost_connection]


@given("the other endpoint's link is lost and accepts no dial")
def other_is_lost(context: Context) -> None:
    proxy = context.proxy
    (other,) = (
        c
        for c in proxy.links
        if port_of(proxy, c) >= FIRST_AGENT_PORT and c != proxy.lost_connection
    )
    proxy.unresponsive_ports = {port_of(proxy, other)}
    proxy.close_link(other)


@when("a call is sent to an agent whose machine has vanished")
def call_is_lost(context: Context) -> None:
    lose_one_call(context.proxy, order=True)


@when("another agent is heard, and {seconds:f} seconds pass")
def another_heard(context: Context, seconds: float) -> None:
    hear_another(context.proxy)
    context.proxy.advance(seconds)


@then("no link is suspect")
def no_suspect(context: Context) -> None:
    assert not suspects(context.proxy)


@then("the link to the vanished machine is suspect")
def vanished_is_suspect(context: Context) -> None:
    assert suspects(context.proxy) == [context.proxy.lost_connection]


@then("{count:d} probes were sent to it")
def probes_sent(context: Context, count: int) -> None:
    ports = [port for _, port in context.proxy.probes]
    assert ports.count(context.proxy.lost_port) == count, context.proxy.probes


@when("{count:d} further calls are made")
@when("{count:d} further call is made")
def further_calls(context: Context, count: int) -> None:
    context.sent_before = len(context.proxy.sent_calls)
    for _ in range(count):
        context.proxy.ask("/orders/1")


@then("none of them was sent to the suspect endpoint")
def none_sent_there(context: Context) -> None:
    sent = context.proxy.sent_calls[context.sent_before :]
    assert len(sent) == 40, len(sent)
    assert all(connection != context.proxy.lost_connection for connection, _ in sent)


@then("the last call was sent to the suspect endpoint")
def last_sent_there(context: Context) -> None:
    proxy = context.proxy
    assert len(proxy.sent_calls) == context.sent_before + 1, proxy.sent_calls
    assert proxy.sent_calls[-1][0] == proxy.lost_connection


@then("the repeatable call that waited there was sent to the other endpoint")
def was_moved(context: Context) -> None:
    proxy = context.proxy
    connection, start = proxy.sent_calls[-1]
    assert connection != proxy.lost_connection and start.target == b"/orders/1"
    assert not proxy.answers[proxy.lost_call]
    context.moved = connection, start


@then("the suspect agent was told to cancel it")
def was_cancelled(context: Context) -> None:
    assert context.proxy.cancels == 1, context.proxy.cancels


@when('the other endpoint refuses it as "{kind}"')
def other_refuses(context: Context, kind: str) -> None:
    context.proxy.refuse(*context.moved, ErrorKind(kind))


@then('that call failed as "{kind}" with outcome "{outcome}"')
def that_call_failed(context: Context, kind: str, outcome: str) -> None:
    refusal = context.proxy.refusal(context.proxy.lost_call)
    assert isinstance(refusal, Failure), refusal
    assert (refusal.kind.value, refusal.outcome.value) == (kind, outcome), refusal


@then("the call that waited there is still open")
def still_open(context: Context) -> None:
    proxy = context.proxy
    assert not proxy.answers[proxy.lost_call], proxy.answers[proxy.lost_call]
    assert proxy.sent_calls[-1] == (proxy.lost_connection, proxy.lost_start)
    assert not proxy.cancels and not proxy.cancels_unless_begun


@when("the suspect agent answers that call")
def suspect_answers(context: Context) -> None:
    context.proxy.answer(context.proxy.lost_connection, context.proxy.lost_start)


@then("its caller got the answer")
def got_answer(context: Context) -> None:
    assert isinstance(context.proxy.final_answer(context.proxy.lost_call), CallAnswer)


@when("the link to the vanished machine is lost")
def vanished_link_lost(context: Context) -> None:
    context.proxy.close_link(context.proxy.lost_connection)


@when("a call takes {seconds:f} seconds at its agent")
def slow_call(context: Context, seconds: float) -> None:
    proxy = context.proxy
    proxy.place_order("slow")
    (attempt,) = proxy.open_attempts
    proxy.advance(seconds)
    assert not suspects(proxy)
    proxy.answer(*attempt)


@then("no link was ever suspect")
def never_suspect(context: Context) -> None:
    assert not [e for e in context.proxy.logged if e.code == events.LINK_SUSPECT]
    assert context.proxy.probes


@then("at most {count:d} probes were sent in any second")
def probes_a_second(context: Context, count: int) -> None:
    times = [at for at, _ in context.proxy.probes]
    assert all(sum(at <= other < at + 1 for other in times) <= count for at in times), times


@then("the log has event {code:d} with the agent's address and its calls")
def logged(context: Context, code: int) -> None:
    proxy = context.proxy
    (event,) = (each for each in proxy.logged if each.code == code)
    assert event.fields == {"agent": f"127.0.0.1:{proxy.lost_port}", "calls": 1}, event


@then("the numbers of suspect links that were told are {first:d} and {second:d}")
def counts_told(context: Context, first: int, second: int) -> None:
    assert context.proxy.suspect_counts == [first, second], context.proxy.suspect_counts


@given("an agent whose only slot is taken and whose queue holds {count:d} calls")
def busy_agent(context: Context, count: int) -> None:
    context.execute_steps("Given a registered agent with 1 slots and a proxy")
    for stream in range(1, count + 2):
        context.execute_steps(
            f"When the agent gets a call on agent stream {stream} with 5 seconds left"
        )


@when("a proxy sends the agent probe {number:d}")
def agent_probed(context: Context, number: int) -> None:
    agent = context.agent
    probe = MessageReceived(PROXY_CONNECTION, LinkProbe(number=number))
    context.probe_outputs = agent.core.handle(probe, agent.now)


@then("the agent answered probe {number:d} in the same turn")
def agent_answered(context: Context, number: int) -> None:
    expected = SendMessage(PROXY_CONNECTION, LinkProbeAnswer(number=number))
    assert expected in context.probe_outputs, context.probe_outputs


def tell(proxy: ProxyHarness, update: LoadUpdate) -> None:
    relay = next(c for c, link in proxy.links.items() if link.address == RELAY)
    proxy.post(MessageReceived(relay, update))


@then("the proxy has reported the vanished agent {count:d} times")
def has_reported(context: Context, count: int) -> None:
    proxy = context.proxy
    number = endpoint_hash(SERVICE, f"instance-{proxy.lost_port - FIRST_AGENT_PORT}")
    assert [list(each.suspects) for each in proxy.reports] == [[number]] * count, proxy.reports


@when("the relay tells that another proxy finds the first agent silent")
def told_silent(context: Context) -> None:
    tell(context.proxy, LoadUpdate(suspects=[endpoint_hash(SERVICE, "instance-0")]))


@when("the relay tells a load of 0 that the first agent has reported")
def told_load(context: Context) -> None:
    number = endpoint_hash(SERVICE, "instance-0")
    tell(context.proxy, LoadUpdate(zone="here", endpoints=[number], loads=bytes([0])))


@when("the first agent is heard")
def first_heard(context: Context) -> None:
    connection = connection_to(context.proxy, FIRST_AGENT_PORT)
    context.proxy.post(MessageReceived(connection, LinkProbeAnswer(number=0)))


def ports_of_further_calls(proxy: ProxyHarness, count: int) -> set[int]:
    before = len(proxy.sent_calls)
    for _ in range(count):
        proxy.ask("/orders/1")
    ports = {port_of(proxy, connection) for connection, _ in proxy.sent_calls[before:]}
    assert len(proxy.sent_calls) == before + count
    answer_all(proxy)
    return ports


@then("{count:d} further calls avoid the first agent")
def calls_avoid(context: Context, count: int) -> None:
    assert FIRST_AGENT_PORT not in ports_of_further_calls(context.proxy, count)


@then("{count:d} further calls include the first agent")
def calls_include(context: Context, count: int) -> None:
    assert FIRST_AGENT_PORT in ports_of_further_calls(context.proxy, count)


@given("a proxy with 2 endpoints, both with a call in progress")
def both_busy(context: Context) -> None:
    probed_agents(context)
    proxy = context.proxy
    while len({connection for connection, _ in proxy.open_attempts}) < 2:
        proxy.ask("/orders/1")
    context.sent_before = list(proxy.sent_calls)


@then("both calls are still where they were sent")
def still_there(context: Context) -> None:
    assert context.proxy.sent_calls == context.sent_before
    assert not context.proxy.cancels


@then("no probe was sent")
def no_probe(context: Context) -> None:
    assert not context.proxy.probes, context.proxy.probes


@then('a proxy whose settings say "{setting}" takes a silence time of {seconds:g} seconds')
def silence_from_settings(context: Context, setting: str, seconds: float) -> None:
    settings = proxy_settings(HeaderSettings(), 0, probe_ms=500)
    if setting != "nothing":
        calls = CallLimitSettings(link_silence_ms=int(setting))
        settings = attrs.evolve(settings, calls=calls)
    assert core_settings(settings).link_silence == seconds
