"""Steps for instances of the platform that cut their responses off, or send what is no response."""

from __future__ import annotations

import time
from collections import Counter

from behave import given, then, when
from behave.runner import Context
from broken_responses import CLOSE, RESET, RESPONSES, BreakingInstance, Broken, cut_heads
from instance_statement_steps import start_fleet
from platform_machines import OUTBOUND_PORT
from platform_traffic import DEADLINE_MS, HOST_NAME, OK, WRITE, Answer, ask

BACKEND_FAILED = 502
SOUND_EVERY = 2
"""Broken responses between two sound ones; an endpoint that fails more in a row is left out."""

UNKNOWN = b'"outcome": "unknown"'


@given("a control process and a node of the platform whose instance breaks its responses")
def given_breaking(context: Context) -> None:
    start_fleet(context, 1, BreakingInstance)


@when(
    "callers are sent each of four heads cut at each seventh byte and near its end, {parts}, "
    "and then a {end}"
)
def when_cut(context: Context, parts: str, end: str) -> None:
    assert end in (CLOSE, RESET)
    send_all(context, cut_heads(end, byte_by_byte=parts == "byte by byte"))


@when("callers are sent each of these responses")
def when_responses(context: Context) -> None:
    names = [row["response"] for row in context.table]
    send_all(context, {f"r-{number}": RESPONSES[name] for number, name in enumerate(names)})


def send_all(context: Context, responses: dict[str, Broken]) -> None:
    (instance,) = context.instances
    instance.broken = responses
    context.answers, context.sound, context.seconds = {}, {}, {}
    for number, request in enumerate(responses):
        if number % SOUND_EVERY == 0:
            context.sound[f"sound-{number}"] = call(context, f"sound-{number}")
        began = time.monotonic()
        context.answers[request] = call(context, request)
        context.seconds[request] = time.monotonic() - began


def call(context: Context, request: str) -> Answer:
    headers = {
        "Host": HOST_NAME,
        "Limelever-Attempt-Id": request,
        "Limelever-Deadline-Ms": str(DEADLINE_MS),
    }
    (node,) = context.nodes
    return ask(node.ip, OUTBOUND_PORT, "POST", f"/{WRITE}/x", b"{}", headers)


@then(
    "each request reached the instance once, and was answered 502 with an unknown outcome, "
    "before its deadline"
)
def then_unknown(context: Context) -> None:
    (instance,) = context.instances
    print(f"{len(context.answers)} broken responses, {len(context.sound)} sound ones")
    arrived = Counter(instance.arrived)
    wrong = {
        request: (arrived[request], answer, context.seconds[request])
        for request, answer in context.answers.items()
        if answer.status != BACKEND_FAILED or UNKNOWN not in answer.body or arrived[request] != 1
    }
    assert not wrong, wrong
    assert max(context.seconds.values()) < DEADLINE_MS / 1000, context.seconds


@then("the sound requests in between were answered whole")
def then_sound(context: Context) -> None:
    assert context.sound
    assert all(each == Answer(OK, b"taken") for each in context.sound.values()), context.sound
