"""Steps for the replicated state machine."""

from behave import given, then, when
from hypothesis import settings as hypothesis_settings
from operator_log import RECORD_LIMIT, Log
from operator_random_batches import random_batches
from operator_resources import SECRET_VALUE, route, secret, service, share, tenant

from limelever.common.errors import Failure, Outcome
from limelever.protocol.config_pb2 import Batch, Resource, Tenant
from limelever.protocol.keys import parse_key
from limelever.protocol.tenant_keys import digest_of
from limelever.source.at_rest import SecretSealer
from limelever.source.state import StateMachine
from limelever.source.validation import validate_resources


@given('a state machine with the service "orders", the secret "key" and the route "orders" to both')
def given_state_machine(context):
    context.log = Log(StateMachine(RECORD_LIMIT))
    context.base = [service("orders"), secret("key"), route("orders", "orders", "key")]
    assert context.log.apply(context.base).applied is not None
    context.before = context.log.state.snapshot().resources


@when('a sound batch puts the service "{name}"')
def when_put_service(context, name):
    context.log.apply([service(name)])


@then("the batch is accepted in its own version")
def then_accepted(context):
    answer = context.log.outcome.answer
    assert answer.version == context.log.index == context.log.state.version, answer
    assert context.log.outcome.applied.version == context.log.index


@when('a batch puts the new service "{name}" and a route to the missing service "{missing}"')
def when_put_dangling_service(context, name, missing):
    context.log.apply([service(name), route("bad", missing)])


@when('a batch puts a route to the missing secret "{missing}"')
def when_put_dangling_secret(context, missing):
    context.log.apply([route("bad", "orders", missing)])


@when('a batch puts a share of the missing service "{missing}"')
def when_put_dangling_share(context, missing):
    context.log.apply([share(missing, "stores")])


@when('a batch deletes "{keys}"')
def when_batch_deletes(context, keys):
    context.log.apply(delete=keys.split(", "))


@then('the batch is refused as "{kind}" naming "{names}"')
@then('the batch is refused as "{kind}" naming nothing')
def then_batch_refused(context, kind, names=None):
    failure = context.log.outcome.answer
    assert isinstance(failure, Failure), failure
    named = tuple(names.split(", ")) if names else ()
    assert (failure.kind.value, failure.resources) == (kind, named), failure
    assert context.log.outcome.applied is None
    if kind == "conflict":
        assert failure.current_version == context.log.state.version


@when('a batch puts the route "{name}" at "{prefix}" for "{methods}"')
def when_put_route_at(context, name, prefix, methods):
    chosen = () if methods == "any" else methods.split()
    context.log.apply([route(name, "orders", prefix=prefix, methods=chosen)])


@when('a batch moves the route "{name}" away and puts another one in its place')
def when_move_route(context, name):
    context.log.apply([route("next", "orders", prefix="/orders"), route(name, name, prefix="/old")])


@when('a batch puts the secret "{name}" with the header "{header}"')
def when_put_secret_header(context, name, header):
    context.log.apply([secret(name, header=header)])


@when('a batch puts the route "{name}" with the secrets "{secrets}"')
def when_put_route_secrets(context, name, secrets):
    context.log.apply([route(name, "orders", *secrets.split())])


@when("an entry from before the rule on overlaps puts a route that takes another's calls")
def when_old_rules(context):
    context.log.apply([route("other", "orders", prefix="/orders")], rules=0)


@then("the state is unchanged")
def then_state_unchanged(context):
    assert context.log.state.snapshot().resources == context.before


@when("two batches expect the current version")
def when_two_expect(context):
    current = context.log.state.version
    context.first = context.log.apply([service("one")], expected=current)
    context.second = context.log.apply([service("two")], expected=current)


@then("the first is accepted and the second is a conflict with the version of the first")
def then_one_wins(context):
    failure = context.second.answer
    assert failure.kind.value == "conflict"
    assert failure.current_version == context.first.answer.version


@when("the batch of the background is sent under a new request id")
def when_no_change(context):
    context.log.apply(context.base)


@then("the batch is accepted without a new version")
def then_no_new_version(context):
    outcome, state = context.log.outcome, context.log.state
    assert outcome.applied is None
    assert outcome.answer.version == state.version < context.log.index


@when("a batch is sent twice under one request id")
def when_sent_twice(context):
    context.log.apply([service("doomed"), service("last")])
    batch = {
        "put": [service("one"), service("orders")],
        "delete": ["service/last", "service/doomed"],
        "request_id": context.log.fresh_id(),
    }
    context.first = context.log.apply(**batch)
    context.log.apply(delete=["service/one"])
    context.second = context.log.apply(**batch)


@then("the second answer is the first one with its changes, marked as repeated")
def then_first_answer(context):
    assert context.second.applied is None and context.second.answer.repeated_answer
    assert context.second.answer.version == context.first.answer.version
    assert len(context.first.answer.changes) == 4, context.first
    assert list(context.second.answer.changes) == list(context.first.answer.changes)
    assert context.log.state.get(parse_key("service/one")) is None


@when("a batch that was refused is resent after its cause is gone")
def when_refused_resent(context):
    request_id = context.log.fresh_id()
    context.log.apply([route("late", "gone")], request_id=request_id)
    context.log.apply([service("gone")])
    context.log.apply([route("late", "gone")], request_id=request_id)


@when("a request id comes back with other content")
def when_other_content(context):
    request_id = context.log.fresh_id()
    context.log.apply([service("one")], request_id=request_id)
    context.log.apply([service("two")], request_id=request_id)


@when("a batch with a secret ran and is resent after the sealing key was changed")
def when_resealed(context):
    request_id = context.log.fresh_id()
    for keys in ([b"o" * 32], [b"n" * 32, b"o" * 32]):
        batch = SecretSealer(keys).seal_batch(Batch(put=[secret("till", header="x-till")]))
        outcome = context.log.apply(batch.put, request_id=request_id)
        context.first = getattr(context, "first", outcome)
    assert context.first.applied is not None


@when("a batch has a request id from beyond the log")
def when_from_beyond(context):
    for _ in range(RECORD_LIMIT + 1):
        context.log.apply([service("one")], request_id=f"beyond-it@{context.log.index + 100}")
    assert context.log.state.snapshot().removed_requests_through == 0


@when("as many requests as are kept follow a batch that ran and then it is resent")
def when_past_the_bound(context):
    request_id = context.log.fresh_id()
    assert context.log.apply([service("one")], request_id=request_id).applied is not None
    for _ in range(RECORD_LIMIT):
        context.log.apply(delete=["route/none"])
    context.log.apply([service("one")], request_id=request_id)


@then("the refusal does not say that the request was not run")
def then_outcome_unknown(context):
    assert context.log.outcome.answer.outcome is Outcome.UNKNOWN


@then("a fresh request is accepted")
def then_fresh_accepted(context):
    assert context.log.apply([service("fresh")]).applied is not None


@when("replicas apply random batches, one of them from snapshots")
def when_random_batches(context):
    hypothesis_settings(max_examples=150, derandomize=True, deadline=None)(random_batches)()


@then("no reference dangles, nothing overlaps, no version goes back and the replicas are equal")
def then_all_whole(context):
    """The property asserted it for each batch."""


@when("a secret value is sealed")
def when_sealed(context):
    context.sealed = SecretSealer([b"o" * 32]).seal("key", SECRET_VALUE)


@then("it opens under its name with an older key and fails under another name or damaged")
def then_opens(context):
    sealer = SecretSealer([b"n" * 32, b"o" * 32])
    assert SECRET_VALUE not in context.sealed
    assert sealer.open("key", context.sealed) == SECRET_VALUE
    damaged = context.sealed[:-1] + bytes([context.sealed[-1] ^ 1])
    for name, sealed in (("other", context.sealed), ("key", damaged), ("key", b"")):
        failure = sealer.open(name, sealed)
        assert isinstance(failure, Failure) and failure.kind.value == "data-damaged"


@when('a batch puts the tenant "{name}" with the keys "{keys}"')
def when_put_tenant(context, name, keys):
    context.log.apply([tenant(name, *keys.split())])


@when('a batch moves the key "{key}" from the tenant "{former}" to the tenant "{later}"')
def when_move_key(context, key, former, later):
    context.log.apply([tenant(later, key), tenant(former)])


@when("the state machine is restored from its snapshot")
def when_restored(context):
    snapshot = context.log.state.snapshot()
    context.log.state = StateMachine(RECORD_LIMIT)
    context.log.state.restore(snapshot)


@then('the refusal holds neither a key nor a digest of "{keys}"')
def then_no_key(context, keys):
    text = str(context.log.outcome)
    for key in keys.split():
        digest = digest_of(key.encode())
        assert f"'{key}'" not in text and digest.hex() not in text and str(digest) not in text


NAN, ENDLESS = float("nan"), float("inf")
TENANT_FLAWS = {
    "without a name": tenant(""),
    "with a digest of 31 bytes": Resource(tenant=Tenant(name="north", key_digests=[bytes(31)])),
    "with an empty digest": Resource(tenant=Tenant(name="north", key_digests=[b""])),
    "with a key twice": tenant("north", "one", "one"),
    "with 65 keys": tenant("north", *(f"key-{number}" for number in range(65))),
    "of a negative rate": tenant("north", rate_per_s=-1.0),
    "of a rate that is no number": tenant("north", rate_per_s=NAN),
    "of an endless rate": tenant("north", rate_per_s=ENDLESS),
    "of a negative burst": tenant("north", burst=-0.5),
    "of a burst that is no number": tenant("north", burst=NAN),
    "of a priority of 101": tenant("north", priority=101),
}


@then("a tenant that is {flaw} has just the problem of its {field}")
def then_tenant_problem(context, flaw, field):
    problems = validate_resources(Batch(put=[TENANT_FLAWS[flaw]]))
    assert [problem.field for problem in problems] == [field], problems


@then('a batch of the tenants "{one}" and "{two}" with the key "{key}" each has just one problem')
def then_shared_key_problem(context, one, two, key):
    (problem,) = validate_resources(Batch(put=[tenant(one, key), tenant(two, key)]))
    assert (problem.resource, problem.field) == (f"tenant/{one}", "key_digests"), problem
