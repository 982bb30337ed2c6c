"""Steps for a source in a process of its own whose disk gets full."""

from __future__ import annotations

import tempfile
from pathlib import Path

import grpc
from behave import given, then, when
from source_process import PATIENCE, SourceProcess, wait_for


@given("a source of one replica in a process of its own")
def given_source_process(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.source_process = SourceProcess(Path(folder.name))
    context.source_process.start()
    context.add_cleanup(context.source_process.end)


@when("an operator gives that source {count:d} services, one after the other")
def when_services(context, count):
    context.names = [f"service-{number}" for number in range(count)]
    answers = [context.source_process.apply(name) for name in context.names]
    context.version = answers[-1].version


@when("that source's disk is full")
def when_full(context):
    context.source_process.full.touch()


@when("an operator gives that source one more service")
def when_one_more(context):
    try:
        context.answer = context.source_process.apply("one-more")
    except grpc.RpcError as error:
        context.answer = error


@then("that operator is told that the outcome is unknown")
def then_unknown(context):
    assert isinstance(context.answer, grpc.RpcError), context.answer
    code = context.answer.code()
    assert code in (grpc.StatusCode.UNKNOWN, grpc.StatusCode.UNAVAILABLE), context.answer


@then("that source still runs and logs {code:d}")
def then_lives_on(context, code):
    assert wait_for(lambda: context.source_process.logged(code), PATIENCE)
    assert context.source_process.process.poll() is None


@then("that source logs {code:d}")
def then_logs(context, code):
    assert wait_for(lambda: context.source_process.logged(code), PATIENCE)


@when("that source's disk has room again")
def when_room_again(context):
    context.source_process.full.unlink()


@then("that source has the 3 services, in the version that was answered or a later one")
def then_has_services(context):
    version, names = context.source_process.services()
    assert version >= context.version, (version, context.version)
    assert set(context.names) <= set(names), names


@when("that operator sends the one more service again")
def when_resent(context):
    context.source_process.apply_again("one-more")


@then("that source has it once")
def then_once(context):
    _, names = context.source_process.services()
    assert sorted(names) == sorted([*context.names, "one-more"]), names
