"""Steps for many connections that send requests behind others."""

from __future__ import annotations

from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings, strategies
from pipelining_steps import GET, METHODS, STATUS, DrawnPipeline, answer_held
from transport_edge_steps import ask, connect
from transport_server import wait_for

from limelever.transport.http_pipeline import Pipeline
from limelever.transport.pipelined_requests import PipelinedRequests

PIPELINES = 3
LIMIT = 4
STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, PIPELINES - 1),
        strategies.one_of(
            strategies.tuples(strategies.just("add"), METHODS),
            strategies.tuples(strategies.just("answer"), strategies.integers(0, 9)),
            strategies.tuples(strategies.just("end"), strategies.none()),
        ),
    ),
    max_size=80,
)


@when("{callers:d} callers of a crowd each send GET /held {count:d} times")
def when_crowd(context, callers, count):
    context.answered = 0
    context.count = count
    context.crowd = [connect(context) for _ in range(callers)]
    context.begun_before = len(context.edge.held)
    for caller in context.crowd:
        caller.send(GET * count)


@when("a caller beside that crowd asks")
def when_another(context):
    context.other = ask(context)


@then("that other request is answered beside theirs")
def then_run(context):
    assert context.other.status() == 200


@when("the requests of that crowd are answered as they are begun")
def when_answered(context):
    wanted = len(context.crowd) * context.count

    def all_answered():
        answer_held(context, list(range(context.answered, len(context.edge.held))))
        return context.answered == wanted

    assert wait_for(all_answered), context.answered


@then("each of the crowd's requests is answered, and none is in progress")
def then_all_answered(context):
    for caller in context.crowd:
        received = b""
        while len(STATUS.findall(received)) < context.count:
            more = caller.socket.recv(65536)
            assert more, received
            received += more
        assert set(STATUS.findall(received)) == {b"200"}, received
    assert context.answered == len(context.edge.held)


@when("all callers of that crowd leave")
def when_leave(context):
    for caller in context.crowd:
        caller.close()


@then("the callers' listener then runs {count:d} more requests")
def then_more(context, count):
    def begun():
        return len(context.edge.held) - context.begun_before

    assert wait_for(lambda: begun() == count), begun()
    context.edge.server.in_loop(lambda: None)
    assert begun() == count, begun()


class CommonLimit:
    """Pipelines that share a limit under drawn steps."""

    def __init__(self) -> None:
        self.requests = PipelinedRequests(LIMIT)
        self.pipelines = [self._new() for _ in range(PIPELINES)]

    def _new(self) -> DrawnPipeline:
        return DrawnPipeline(Pipeline(behind=self.requests))

    def step(self, number, name, value):
        drawn_pipeline = self.pipelines[number]
        if name == "add":
            drawn_pipeline.add(value)
        elif name == "answer":
            drawn_pipeline.answer(value)
        else:
            drawn_pipeline.pipeline.take_all()
            self.pipelines[number] = self._new()
            return
        drawn_pipeline.settle()

    def check(self):
        running = 0
        for each in self.pipelines:
            left = each.added[len(each.sent) :]
            assert not left or left[0].begun, "the oldest request is in progress"
            running += sum(e.begun and e.answer is None for e in left)
        assert self.requests.in_progress <= LIMIT
        assert running <= PIPELINES + LIMIT, running
        if not running:
            assert self.requests.in_progress == 0


@then("pipelines with a common limit keep it, and the oldest request of each is in progress")
def then_drawn(context):
    @settings(max_examples=300, deadline=None)
    @drawn(STEPS)
    def check(steps):
        common = CommonLimit()
        for number, (name, value) in steps:
            common.step(number, name, value)
            common.check()

    check()
