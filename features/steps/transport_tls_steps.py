"""Steps for TLS on links and on the HTTP listeners, with right and wrong certificates."""

from __future__ import annotations

import ssl
import tempfile
from functools import partial
from pathlib import Path

import httpcore
import trio
from behave import given, then, when
from certificates import GOOD, NONE, Authorities, trusting
from http_server import HttpClient, HttpServer
from transport_server import CREDENTIAL, LinkServer, wait_for

from limelever.common.errors import Failure
from limelever.common.sansio import Address, Purpose, Role
from limelever.common.settings import LinkSettings
from limelever.protocol.calls_pb2 import CallBody
from limelever.proxy.call_types import AnswerCall, CallAnswer, CallArrived
from limelever.proxy.edge import Edge
from limelever.proxy.settings import EdgeSettings
from limelever.source.operator_listener import serve_operators
from limelever.transport.links import Link, LinkIdentity, dial
from limelever.transport.tls import (
    client_context,
    files_of,
    one_sided_context,
    server_context,
)

AGENT = LinkIdentity(Role.AGENT, "tls-agent", "zone-a", CREDENTIAL)
LOOPBACK = Address("127.0.0.1", 0)
MESSAGES = 3


def authorities(context) -> Authorities:
    if not hasattr(context, "authorities"):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.authorities = Authorities(Path(folder.name))
    return context.authorities


def start_link_server(context, certificate):
    context.link_server = LinkServer(tls=authorities(context).settings(certificate))
    context.add_cleanup(context.link_server.stop)


def context_of(context, certificate) -> ssl.SSLContext | None:
    if certificate == NONE:
        return authorities(context).context_without_certificate()
    made = client_context(authorities(context).settings(certificate))
    assert not isinstance(made, Failure), made
    return made


async def dial_and_send(address, tls) -> Failure | None:
    """Dial as an agent does and send messages; return why the dial failed."""
    link = await dial(address, Purpose.REGISTRATION, AGENT, LinkSettings(), tls)
    if not isinstance(link, Link):
        return link
    for index in range(MESSAGES):
        link.send(CallBody(stream=index))
    await link.flush_and_close()
    return None


@given("a TLS link server")
def given_tls_server(context):
    start_link_server(context, GOOD)


@given("a TLS link server with {certificate}")
def given_tls_server_with(context, certificate):
    start_link_server(context, certificate)


@when("an agent dials the TLS link server with {certificate}")
def when_agent_dials(context, certificate):
    tls = context_of(context, certificate)
    context.failure = trio.run(dial_and_send, context.link_server.address, tls)


@when("an agent dials the link server by TLS")
def when_agent_dials_plain(context):
    when_agent_dials(context, GOOD)


@then("that agent's messages reach the link server's core")
def then_messages_reach(context):
    assert context.failure is None, context.failure
    messages = context.link_server.core.messages
    assert wait_for(lambda: len(messages.get(AGENT.name, ())) == MESSAGES), messages


@then('that dial fails saying "{reason}"')
def then_dial_fails(context, reason):
    assert isinstance(context.failure, Failure), context.failure
    assert reason in str(context.failure), context.failure


@then('the link server logs {code:d} saying "{reason}"')
def then_logs_saying(context, code, reason):
    found = wait_for(lambda: context.link_server.log.of(code))
    assert [reason in event.fields["reason"] for event in found] == [True], found
    assert found[0].fields["peer"].startswith("127.0.0.1:"), found


async def answer_ok(scope, receive, send):
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def operators_listener(settings):
    return partial(serve_operators, answer_ok, LOOPBACK, settings, trio.Event())


def callers_listener(settings):
    def post(event):
        if isinstance(event, CallArrived):
            edge.answer(AnswerCall(event.call, CallAnswer(200, (), b"")))

    edge = Edge(
        EdgeSettings(listen=LOOPBACK, certificate=settings.certificate, key=settings.key), post
    )
    return partial(edge.serve, 1.0)


HTTP_LISTENERS = {"operators": operators_listener, "callers": callers_listener}


@given("a TLS listener for {whom}")
def given_tls_listener(context, whom):
    settings = authorities(context).settings(GOOD)
    context.listener = HttpServer(HTTP_LISTENERS[whom](settings))
    context.add_cleanup(context.listener.stop)


def ask_by_https(context, authority):
    with httpcore.ConnectionPool(ssl_context=trusting(authority), http2=True) as pool:
        return pool.request("GET", f"https://{context.listener.address}/")


@when("an HTTPS client that trusts the authority asks it")
def when_https_trusts(context):
    context.response = ask_by_https(context, authorities(context).own)


@when("an HTTPS client that trusts another authority asks it")
def when_https_trusts_other(context):
    try:
        context.response = ask_by_https(context, authorities(context).other)
    except httpcore.ConnectError as error:
        context.response = error


@when("a client without TLS asks it")
def when_plain_client(context):
    context.logged_before = len(context.listener.log.events)
    context.client = HttpClient(context.listener.address)
    context.add_cleanup(context.client.close)
    context.client.ask("GET", "/")


@then("the TLS listener answers {status:d} over {protocol}")
def then_tls_answers(context, status, protocol):
    assert context.response.status == status, context.response
    assert context.response.extensions["http_version"].decode() == protocol


@then("that HTTPS client refuses the certificate")
def then_https_refuses(context):
    assert "certificate verify failed" in str(context.response), context.response


@then("the TLS listener logs {code:d}")
def then_tls_listener_logs(context, code):
    (event,) = wait_for(lambda: context.listener.log.of(code))
    assert "unknown ca" in event.fields["reason"], event


@then("the TLS listener closes that client and logs {code:d}")
def then_tls_listener_closes(context, code):
    context.client.wait_closed()
    new = wait_for(lambda: context.listener.log.events[context.logged_before :])
    assert [event.code for event in new] == [code], new
    assert "http request" in new[0].fields["reason"], new


@given("TLS settings with {fault}")
def given_tls_settings(context, fault):
    good = authorities(context).settings(GOOD)
    other = authorities(context).settings(GOOD)
    changes = {
        "a missing certificate": {"certificate": "/nowhere/certificate.pem"},
        "a missing key": {"key": "/nowhere/key.pem"},
        "another key": {"key": other.key},
        "a missing authority": {"authority": "/nowhere/authority.pem"},
    }[fault]
    context.tls_settings = type(good)(
        certificate=changes.get("certificate", good.certificate),
        key=changes.get("key", good.key),
        authority=changes.get("authority", good.authority),
    )
    (context.faulty_file,) = changes.values()


def assert_refused(context, made, reason):
    assert isinstance(made, Failure), made
    assert context.faulty_file in made.reason and reason in made.reason, made


@then('every TLS context is refused naming that file and "{reason}"')
def then_contexts_refused(context, reason):
    settings = context.tls_settings
    assert_refused(context, server_context(settings), reason)
    assert_refused(context, client_context(settings), reason)
    assert_refused(context, one_sided_context(files_of(settings), ("h2",)), reason)


@then('a link\'s TLS context is refused naming that file and "{reason}"')
def then_link_context_refused(context, reason):
    assert_refused(context, server_context(context.tls_settings), reason)
    assert_refused(context, client_context(context.tls_settings), reason)
