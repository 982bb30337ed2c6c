"""Steps that compare a delta taken step by step with a full check of the set it leads to."""

from behave import then
from distribution_harness import build, resource
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.digest import SetDigest
from limelever.protocol.distribution_pb2 import ConfigDelta
from limelever.protocol.keys import Key, key_texts, references_of
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.held import HeldSet, from_delta

SERVICES = ("s0", "s1")
SECRETS = ("k0", "k1")
BODIES = st.one_of(
    st.builds(lambda name: build(f"service/{name}"), st.sampled_from(SERVICES)),
    st.builds(lambda name: build(f"secret/{name}"), st.sampled_from(SECRETS)),
    st.builds(
        lambda number, service, secrets: build(f"route/r{number}", service, ",".join(secrets)),
        st.integers(0, 2),
        st.sampled_from(SERVICES),
        st.lists(st.sampled_from(SECRETS), unique=True),
    ),
    st.builds(lambda name: resource(f"share/{name}/g"), st.sampled_from(SERVICES)),
)
VERSIONED = st.builds(VersionedResource, resource=BODIES, version=st.integers(1, 3))
KEYS = BODIES.map(Key.of)
DELTAS = st.tuples(st.lists(KEYS, max_size=4), st.lists(VERSIONED, max_size=4), st.booleans())


def full_result(held, removed, put):
    """Return what the whole set is after a delta and the keys that dangle in it."""
    resources = {key: value for key, value in held.items() if key not in removed}
    resources.update({Key.of(versioned.resource): versioned for versioned in put})
    targets = {key for value in resources.values() for key in references_of(value.resource)}
    return resources, targets - resources.keys()


def check_delta(held, removed, put, damaged):
    """Take one delta, compare it with the full check, and return the set held after it."""
    before = dict(held.configuration.resources)
    digest_before, dangling_before = held.digest.to_bytes(), held.configuration.dangling()
    resources, dangling = full_result(before, removed, put)
    right = SetDigest.of(resources.values())
    if damaged:
        right.add(1)
    delta = ConfigDelta(
        from_version=held.version,
        to_version=held.version + 1,
        put=put,
        remove=[key.to_message() for key in removed],
        digest=right.to_bytes(),
    )
    built = from_delta(held, delta)
    assert dict(held.configuration.resources) == before
    assert held.digest.to_bytes() == digest_before
    assert held.configuration.dangling() == dangling_before
    if damaged:
        assert isinstance(built, Failure) and built.kind is ErrorKind.DATA_DAMAGED, built
        return held
    if dangling:
        assert isinstance(built, Failure), built
        assert built.kind is ErrorKind.DANGLING_REFERENCE, built
        assert str(built) == str(refusal(dangling)), built
        return held
    assert isinstance(built, HeldSet), built
    assert dict(built.configuration.resources) == resources
    assert built.digest == right
    assert built.configuration.dangling() == ()
    return built


def refusal(dangling):
    return Failure(
        ErrorKind.DANGLING_REFERENCE, "the set refers to what it lacks", key_texts(dangling)
    )


@then("any deltas upon any set are taken or refused as a full check would")
def step_delta_equals_full_check(context):
    @settings(max_examples=600, derandomize=True, deadline=None, database=None)
    @examples(st.lists(VERSIONED, max_size=8), st.lists(DELTAS, min_size=1, max_size=6))
    def check(resources, deltas):
        whole = {Key.of(versioned.resource): versioned for versioned in resources}
        held = HeldSet(1, ConfigurationSet(whole), SetDigest.of(whole.values()))
        for removed, put, damaged in deltas:
            held = check_delta(held, removed, put, damaged)

    check()
