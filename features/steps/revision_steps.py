"""Steps for revisions: whole replacements under the operator's own numbers."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import (
    CALL_KIND_ONCE_PER_ATTEMPT,
    CALL_KIND_REPEATABLE,
    Batch,
    Resource,
    Revision,
    Route,
    Service,
    WeightedService,
)
from limelever.source.state import StateMachine
from limelever.source.validation import validate_batch

PROPERTY = hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=200)


def revision(number: int, base: int, names=("orders",), document=b"as sent") -> Batch:
    services = [Resource(service=Service(name=name)) for name in names]
    routes = [
        Resource(
            route=Route(
                name=f"to-{name}",
                host="shop.example",
                path_prefix=f"/{name}/",
                service=name,
                call_kind=CALL_KIND_REPEATABLE,
            )
        )
        for name in names
    ]
    changed = Revision(number=number, base=base, document=document)
    return Batch(replace=True, put=[*services, *routes], revision=changed)


@given("any sendings of revisions, each number is taken once and on top of the current one")
def given_any_sendings(context):
    sendings = st.lists(
        st.tuples(st.integers(1, 6), st.integers(0, 5), st.sampled_from("ab")), max_size=30
    )

    @PROPERTY
    @examples(sendings)
    def check(plan):
        state = StateMachine()
        taken = {}
        current = 0
        for index, (number, base, name) in enumerate(plan, start=1):
            batch = revision(number, base, (name,))
            outcome = state.apply(index, batch)
            if taken.get(number) == batch:
                assert outcome.answer.repeated_answer
            elif number not in taken and base == current < number:
                assert not isinstance(outcome.answer, Failure), outcome.answer
                taken[number], current = batch, number
            else:
                assert outcome.answer.kind is ErrorKind.CONFLICT
            copy = StateMachine()
            copy.restore(state.snapshot())
            assert copy.revision == state.revision and copy.snapshot() == state.snapshot()
            assert state.revision.number == current

    check()


@given("a state with revisions 1 to {last:d}")
def given_state(context, last):
    context.state = StateMachine()
    context.index = 0
    for number in range(1, last + 1):
        send(context, revision(number, number - 1, (f"s{number}",)))
        assert not isinstance(context.answer, Failure), context.answer


def send(context, batch):
    context.index += 1
    context.answer = context.state.apply(context.index, batch).answer


@when("revision {number:d} is sent again as it was")
def when_resent(context, number):
    send(context, revision(number, number - 1, (f"s{number}",)))


@when("revision {number:d} is sent again with other content")
def when_other(context, number):
    send(context, revision(number, number - 1, ("other",)))


@when("revision {number:d} is sent")
def when_sent(context, number):
    send(context, revision(number, number - 1))


@when("revision {number:d} routes to a service that it lacks")
def when_dangling(context, number):
    batch = revision(number, number - 1)
    batch.put[1].route.service = "missing"
    send(context, batch)


@then("it is accepted as repeated and revision {number:d} stays")
def then_repeated(context, number):
    assert context.answer.repeated_answer
    assert context.state.revision.number == number


@then("it is refused as a conflict and revision {number:d} stays")
def then_conflict(context, number):
    assert context.answer.kind is ErrorKind.CONFLICT, context.answer
    assert context.state.revision.number == number


@then("it is refused and revision {number:d} stays")
def then_refused(context, number):
    assert isinstance(context.answer, Failure)
    assert context.state.revision.number == number


@then("it is accepted")
def then_accepted(context):
    assert not isinstance(context.answer, Failure), context.answer


@then("the state holds the services of revision {number:d} and no other")
def then_services(context, number):
    held = {item.resource.service.name for item in context.state.resources()} - {""}
    assert held == {f"s{number}"}, held


@then('a replacement with {problem} is refused naming "{field}"')
def then_shape(context, problem, field):
    batch = revision(2, 1)
    assert not validate_batch(batch)
    route = batch.put[1].route
    match problem:
        case "a number not above its base":
            batch.revision.base = 2
        case "a request id":
            batch.request_id = "one@1"
        case "a part of weight 0":
            route.service = ""
            route.split.append(WeightedService(service="orders"))
        case "a split beside a service":
            route.split.append(WeightedService(service="orders", weight=1))
        case "a host in capitals":
            route.host = "SHOP.example"
    route.call_kind = CALL_KIND_ONCE_PER_ATTEMPT
    found = [finding.field for finding in validate_batch(batch)]
    assert field in found, found
