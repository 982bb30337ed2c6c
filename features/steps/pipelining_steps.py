"""Steps for requests sent behind others on one connection, over raw sockets and drawn orders."""

from __future__ import annotations

import re

from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings, strategies
from transport_edge_steps import connect
from transport_server import wait_for

from limelever.common.http_messages import HTTP_1_1, HttpAnswer, HttpRequest
from limelever.proxy.call_types import AnswerCall, CallAnswer
from limelever.transport.http_pipeline import (
    DEPTH_LIMIT,
    SAFE_METHODS,
    UNREAD_LIMIT_BYTES,
    Exchange,
    Pipeline,
)
from limelever.transport.metrics import HTTP_IN_ORDER_SECONDS

GET = b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
BAD_LENGTH = b"POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nab"
AWAITING = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
STATUS = re.compile(rb"HTTP/1.1 (\d+)")
METHODS = strategies.sampled_from([b"GET", b"HEAD", b"POST"])


def send(context, data):
    context.caller = connect(context)
    context.answered = 0
    context.in_order_before = in_order_count()
    context.caller.send(data)


def in_order_count():
    return sum(HTTP_IN_ORDER_SECONDS.only.counts)


def answer_held(context, positions):
    edge = context.edge

    def answer():
        for position in positions:
            call = edge.held[position]
            headers = ((b"content-length", b"1"),)
            edge._edge.answer(AnswerCall(call, CallAnswer(200, headers, b"%d" % (position % 10))))

    edge.server.in_loop(answer)
    context.answered += len(positions)


def read_statuses(context, count):
    received = b""
    while len(STATUS.findall(received)) < count:
        more = context.caller.socket.recv(65536)
        assert more, received
        received += more
    context.received = received
    return [int(status) for status in STATUS.findall(received)]


@when("a caller sends GET /held four times in one piece")
def when_four(context):
    send(context, GET * 4)


@when("a caller sends GET /held {count:d} times and reads nothing")
def when_many(context, count):
    send(context, GET * count)


@when("a caller sends GET /held, POST /held and GET /held in one piece")
def when_mixed(context):
    send(context, GET + POST + GET)


@when("a caller sends GET /held and a request with a bad length in one piece")
def when_bad_behind(context):
    send(context, GET + BAD_LENGTH)


@when("a caller sends GET /held and the head of a POST that awaits leave to send its body")
def when_awaiting_behind(context):
    send(context, GET + AWAITING)


@when("the oldest of these requests is answered")
def when_oldest_answered(context):
    answer_held(context, [context.answered])


@when("these requests are answered last first")
def when_answered_reversed(context):
    answer_held(context, list(reversed(range(len(context.edge.held)))))


@when("that caller leaves")
def when_caller_leaves(context):
    context.caller.close()


@when("the callers' listener begins to leave")
def when_edge_leaves(context):
    context.edge.server.in_loop(context.edge._edge.start_lame_duck)


@then("the callers' listener runs {count:d} requests at once")
def then_runs(context, count):
    def running():
        return len(context.edge.held) - context.answered

    assert wait_for(lambda: running() == count), running()
    # Whatever would be begun beside these is begun by the same turn of the loop.
    context.edge.server.in_loop(lambda: None)
    assert running() == count, running()


@then("the callers' listener has run {count:d} requests")
def then_has_run(context, count):
    assert context.edge.run == count, context.edge.run


@then("that caller gets their answers in the order it asked")
def then_in_order(context):
    read_statuses(context, len(context.edge.held))
    bodies = [part[:1] for part in context.received.split(b"\r\n\r\n")[1:]]
    assert bodies == [b"%d" % (n % 10) for n in range(len(bodies))], context.received


@then("that caller gets the statuses {statuses}, and the connection ends")
def then_statuses_and_end(context, statuses):
    wanted = [int(status) for status in re.findall(r"\d+", statuses)]
    assert read_statuses(context, len(wanted)) == wanted, context.received
    context.caller.wait_closed()


@then("only the last of these answers said that the connection ends")
def then_only_last_closes(context):
    heads = context.received.split(b"HTTP/1.1 ")[1:]
    closing = [b"connection: close" in head for head in heads]
    assert len(heads) > 1 and closing == [False] * (len(heads) - 1) + [True], heads


@then("the refused requests are marked as not run, with a Retry-After header")
def then_marked_not_run(context):
    refused = context.received.split(b"HTTP/1.1 ")[2:]
    assert all(b"x-limelever-outcome: not-run" in head for head in refused), refused
    assert all(b"retry-after: " in head for head in refused), refused


@then("the callers' listener has given up {count:d} requests")
def then_given_up(context, count):
    assert wait_for(lambda: len(context.edge.gone) == count), context.edge.gone


@then("that caller has read nothing")
def then_read_nothing(context):
    assert not context.caller.is_readable()


@then("that caller gets the status 200 and then 100")
def then_continue(context):
    assert read_statuses(context, 2) == [200, 100], context.received


@then("{count:d} ready answers have been counted as waiting for earlier ones")
def then_counted(context, count):
    assert wait_for(lambda: in_order_count() - context.in_order_before == count)


class DrawnPipeline:
    """A pipeline under drawn steps, and what must hold of it after each."""

    def __init__(self, pipeline=None):
        self.pipeline = pipeline or Pipeline()
        self.added = []
        self.sent = []
        self.refused = []
        self.leaving = False
        self.unread_bytes = 0

    def add(self, method):
        if self.pipeline.closed:
            return
        exchange = Exchange(HttpRequest(method, b"/", HTTP_1_1, ()))
        self.added.append(exchange)
        self.pipeline.add(exchange)

    def answer(self, choice):
        waiting = [e for e in self.added if e.begun and e.answer is None]
        if waiting:
            body = bytes(choice * UNREAD_LIMIT_BYTES // 9)
            self.pipeline.answer(waiting[choice % len(waiting)], HttpAnswer(200, (), body))

    def settle(self):
        while self.end_one() or self.begin_one():
            pass

    def end_one(self):
        ended = self.pipeline.take_ended(self.leaving)
        if ended is None:
            return False
        assert ended is self.added[len(self.sent)], "answers go out in order"
        self.sent.append(ended)
        for unbegun in self.pipeline.unbegun_at_end():
            assert self.leaving and not unbegun.begun
            self.pipeline.answer(unbegun, HttpAnswer(503, (), b""))
            self.refused.append(unbegun)
        if ended.last:
            assert len(self.added) == len(self.sent), "what was read is answered before the close"
            assert not any(e.begun for e in self.refused), "what was refused never begins"
        return True

    def begin_one(self):
        exchange = self.pipeline.take_startable(self.leaving, self.unread_bytes)
        if exchange is None:
            return False
        assert not self.pipeline.closed
        before = self.added[len(self.sent) : self.added.index(exchange)]
        unsafe = [e for e in [*before, exchange] if e.request.method not in SAFE_METHODS]
        assert not before or not unsafe, "a write runs alone"
        assert not (before and self.leaving), "nothing begins behind another when leaving"
        assert len(before) < DEPTH_LIMIT
        held_bytes = sum(len(e.answer.body) for e in before if e.answer is not None)
        assert self.unread_bytes + held_bytes <= UNREAD_LIMIT_BYTES, "the client has enough to read"
        return True

    def read_and_answer_all(self):
        self.unread_bytes = 0
        self.settle()
        while len(self.sent) < len(self.added):
            sent = len(self.sent)
            self.answer(0)
            self.settle()
            assert len(self.sent) > sent or any(e.answer for e in self.added[sent:]), "stuck"


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("add"), METHODS),
        strategies.tuples(strategies.just("answer"), strategies.integers(0, 9)),
        strategies.tuples(strategies.just("leave"), strategies.none()),
        strategies.tuples(strategies.just("unread"), strategies.integers(0, 2)),
    ),
    max_size=60,
)


@then(
    "drawn pipelines answer in order, begin nothing behind a write, and close after the last read"
)
def then_drawn(context):
    @settings(max_examples=300, deadline=None)
    @drawn(STEPS)
    def check(steps):
        drawn_pipeline = DrawnPipeline()
        for step, value in steps:
            if step == "add":
                drawn_pipeline.add(value)
            elif step == "answer":
                drawn_pipeline.answer(value)
            elif step == "unread":
                drawn_pipeline.unread_bytes = value * UNREAD_LIMIT_BYTES * 2 // 3
            else:
                drawn_pipeline.leaving = True
            drawn_pipeline.settle()
        drawn_pipeline.read_and_answer_all()

    check()
