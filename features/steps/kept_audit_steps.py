"""Steps that give the audit single requests, and look at the plans of many seeds."""

from __future__ import annotations

import threading
from types import SimpleNamespace

from answer_audit import AnswerAudit
from behave import given, then, when
from journal_instances import Journal, Work
from kept_callers import Exchange
from kept_connection import CLOSED, WHOLE
from platform_traffic import WRITE
from process_faults import logged_faults
from stopped_readiness import StoppedReadiness
from strike_log import KILL, PAUSE, RELOAD, SETTINGS, START, STOP, StrikeLog
from strike_series import RESUME, WAIT_STOPPED, Plans

STOP_AT = 1000.0
ANSWER_SECONDS = 10.0
COUNTED = {
    "not read": "unanswered, not counted as read",
    "at work at the end": "unanswered, instance at work in the last sixth of the grace time",
    "late": "unanswered, ended at the deadline",
    "unplanned": "unanswered beside something unplanned",
    "in place, also stopping": "own answers in place of an instance whose node was stopping too",
}
NODE, OTHER = SimpleNamespace(name="a", role="node"), SimpleNamespace(name="b", role="node")


def exchange_of(kind, **fields):
    return Exchange("1", kind, NODE.name, 1, 0.0, 8000, 20, b"", **fields)


def prepare(context, exchange):
    context.now = STOP_AT
    context.exchange, context.journal = exchange, Journal()
    context.strikes = StrikeLog(lambda: context.now)


@given("a request sent {sent:g} s after SIGTERM to its node, and closed {closed:g} s after it")
def given_closed(context, sent, closed):
    sent_at = STOP_AT + sent
    times = {"sent_at": sent_at, "first_in_line_at": sent_at, "ended_at": STOP_AT + closed}
    prepare(context, exchange_of(WRITE, end=CLOSED, **times))
    context.strikes.note(NODE, STOP)


@given(
    "a request sent {sent:g} s after SIGTERM to its node, and answered {status:d} "
    "{answered:g} s after it"
)
def given_own_answer(context, sent, status, answered):
    sent_at = STOP_AT + sent
    times = {"sent_at": sent_at, "first_in_line_at": sent_at, "ended_at": STOP_AT + answered}
    exchange = exchange_of(WRITE, end=WHOLE, status=status, received=100, **times)
    exchange.opened_at = sent_at
    prepare(context, exchange)
    context.strikes.note(NODE, STOP)


@given("an instance beside {node} that was at work from {begun:g} to {ends:g}")
def given_run_beside(context, node, begun, ends):
    work = Work(node, context.exchange.path, STOP_AT + begun, STOP_AT + ends)
    context.journal.note("1", work)


@given("{strikes} to the instance's node")
def given_strikes(context, strikes):
    for strike in strikes.split(", ") if strikes != "nothing" else ():
        what, at = strike.split(" at ")
        context.now = STOP_AT + float(at)
        context.strikes.note(OTHER, what)


@given("a connection that was opened after the node was started again")
def given_started_again(context):
    context.now = STOP_AT + 0.1
    context.strikes.note(NODE, START)
    context.exchange.opened_at = context.exchange.sent_at


@given("an instance that never got it")
def given_not_run(context):
    pass


@given("an instance that was at work from {begun:g} to {ends:g}")
def given_run(context, begun, ends):
    work = Work("b", context.exchange.path, STOP_AT + begun, STOP_AT + ends)
    context.journal.note("1", work)


@given("nothing of another machine")
def given_nothing(context):
    pass


@given("SIGKILL {first:g} to {last:g} s before it of another machine")
def given_kill(context, first, last):
    context.now = context.exchange.sent_at - first
    context.strikes.note(OTHER, KILL)
    context.now = context.exchange.sent_at - last
    context.strikes.unplanned_over(OTHER)


@given("a request of kind {kind} that was answered {status:d} and ran {runs:d} times")
def given_answered(context, kind, status, runs):
    times = {"sent_at": STOP_AT, "first_in_line_at": STOP_AT, "ended_at": STOP_AT + 0.1}
    prepare(context, exchange_of(kind, end=WHOLE, status=status, received=100, **times))
    for _ in range(runs):
        work = Work("b", context.exchange.path, STOP_AT, STOP_AT + 0.02)
        context.journal.note("1", work)


@given("whose answer names another")
def given_another(context):
    context.exchange.is_own = False


@then("the request counts as {verdict}")
def then_counts(context, verdict):
    audit = AnswerAudit(context.journal, context.strikes)
    audit.check(context.exchange)
    assert bool(audit.broken) == (verdict == "broken"), audit.broken
    if verdict in COUNTED:
        assert audit.counts[COUNTED[verdict]] == 1, audit.counts


@given("a process that logged {event}")
def given_logged(context, event):
    line = {"event": event, "fields": {"error": "it broke", "status": 0}}
    context.broken = logged_faults("a", [line])


@given(
    "{asked:d} nodes that were sent SIGTERM, of which {ready:d} still answer ready, "
    "and {gone:d} are gone"
)
def given_stopping(context, asked, ready, gone):
    # A test process that was held up for 50 ms here had nodes looked at before the strikes of the
    # next step, so that they counted as ready: the nodes answer only after those.
    def answer_once_struck(node):
        return context.struck.wait(ANSWER_SECONDS) and node.is_ready

    context.strikes = StrikeLog()
    context.nodes = [
        SimpleNamespace(
            name=f"n{n}", role="node", is_ready=n < ready, process=process(n >= asked - gone)
        )
        for n in range(asked)
    ]
    context.struck = threading.Event()
    context.readiness = StoppedReadiness(context.strikes, answer_once_struck, after=0.05)
    for node in context.nodes:
        context.strikes.note(node, STOP)
        context.readiness.watch(node)


def process(is_gone):
    return SimpleNamespace(poll=lambda: 0 if is_gone else None)


@given("{struck:d} were struck by something unplanned then")
def given_struck(context, struck):
    for node in context.nodes[:struck]:
        context.strikes.note(node, KILL)
    context.struck.set()
    context.readiness.judge()
    context.broken = context.readiness.broken


@then("this counts as {verdict}")
def then_this_counts(context, verdict):
    assert bool(context.broken) == (verdict == "broken"), context.broken


@when("the plans of {seeds:d} seeds are drawn for {control:d} control machines and {nodes:d} nodes")
def when_drawn(context, seeds, control, nodes):
    context.rounds = [Plans(seed, control, nodes).next() for seed in range(seeds)]


@then("no round strikes more than {most:d} control machines but by turns")
def then_tolerated(context, most):
    for all_series in context.rounds:
        assert len([each for each in all_series if each.is_control]) <= most
        for series in all_series:
            machines = [step.machine for step in series.steps]
            assert machines == sorted(machines) or not series.is_control


@then("each machine is started after its last stop and resumed after its last pause")
def then_back(context):
    for series in (series for each in context.rounds for series in each):
        down, paused = set(), set()
        for step in series.steps:
            if step.what in (STOP, KILL):
                down.add(step.machine)
            elif step.what == START:
                down.discard(step.machine)
            elif step.what == PAUSE:
                paused.add(step.machine)
            elif step.what == RESUME:
                paused.discard(step.machine)
        assert not down and not paused, series


@then("the plans hold every kind of step")
def then_every_kind(context):
    seen = {step.what for each in context.rounds for series in each for step in series.steps}
    assert seen == {STOP, START, KILL, PAUSE, RESUME, WAIT_STOPPED, RELOAD, SETTINGS}
