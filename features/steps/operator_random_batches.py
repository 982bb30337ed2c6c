"""Any batches leave replicas alike, with no reference that dangles and nothing that overlaps."""

import random

from hypothesis import given as hypothesis_given
from hypothesis import strategies
from operator_log import RECORD_LIMIT, Log
from operator_resources import key_message, route, secret, service, share, tenant

from limelever.protocol.config_pb2 import Batch
from limelever.protocol.keys import Key, parse_key, references_of
from limelever.source.state import StateMachine

NAMES = strategies.sampled_from(["a", "b", "c"])
HEADERS = strategies.sampled_from(["X-Key", "x-key", "x-other"])
PREFIXES = strategies.sampled_from(["/a", "/b"])
METHODS = strategies.sampled_from([(), ("GET",), ("POST",), ("GET", "PUT")])
KEYS = strategies.lists(strategies.sampled_from("wxyz"), unique=True, max_size=3)
PUTS = strategies.one_of(
    NAMES.map(service),
    strategies.builds(lambda name, keys: tenant(name, *keys), NAMES, KEYS),
    strategies.builds(share, NAMES, NAMES, strategies.integers(1, 3)),
    strategies.builds(secret, NAMES, strategies.sampled_from([b"x", b"y"]), header=HEADERS),
    strategies.builds(route, NAMES, NAMES, NAMES, NAMES, prefix=PREFIXES, methods=METHODS),
)
BASE = [
    *(service(name) for name in "abc"),
    *(secret(name, header=f"x-{name}") for name in "abc"),
]
"""Where random batches begin: without it most are refused for what they refer to."""
DELETES = strategies.builds(
    "{}/{}".format, strategies.sampled_from(["service", "secret", "tenant"]), NAMES
)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.lists(PUTS, max_size=4),
        strategies.lists(DELETES | NAMES.map("route/{}".format), max_size=2),
        strategies.sampled_from(["fresh", "resend"]),
    ),
    max_size=25,
)


@hypothesis_given(STEPS, strategies.integers(0, 1 << 16))
def random_batches(steps, seed):
    chance = random.Random(seed)
    log, replica = Log(StateMachine(RECORD_LIMIT)), StateMachine(RECORD_LIMIT)
    sent, ran = [], set()
    check_one(log, replica, Batch(request_id=log.fresh_id(), put=BASE), ran)
    for put, delete, how in steps:
        if how == "resend" and sent:
            batch = chance.choice(sent)
        else:
            keys = [key_message(text) for text in delete]
            batch = Batch(request_id=log.fresh_id(), put=put, delete=keys)
            sent.append(batch)
        check_one(log, replica, batch, ran)
        if chance.random() < 0.3:
            snapshot = replica.snapshot()
            replica = StateMachine(RECORD_LIMIT)
            replica.restore(snapshot)


def check_one(log, replica, batch, ran):
    log.index += 1
    version = log.state.version
    outcome = log.state.apply(log.index, batch)
    assert replica.apply(log.index, batch) == outcome
    assert replica.snapshot() == log.state.snapshot()
    assert log.state.version == (outcome.applied.version if outcome.applied else version)
    if outcome.applied:
        assert batch.request_id not in ran, "a request id ran twice"
        ran.add(batch.request_id)
    held = {Key.of(item.resource): item.resource for item in log.state.resources()}
    assert all(references_of(resource) <= held.keys() for resource in held.values())
    check_no_overlap(held)
    digests = [digest for each in held.values() for digest in each.tenant.key_digests]
    assert len(set(digests)) == len(digests), "a key has two tenants"


def check_no_overlap(held):
    taken = set()
    for resource in held.values():
        if not resource.HasField("route"):
            continue
        body = resource.route
        calls = {(body.path_prefix, method) for method in body.methods or ("GET", "POST", "PUT")}
        assert taken.isdisjoint(calls), "a call has two routes"
        taken |= calls
        names = set(body.secrets)
        headers = {held[parse_key(f"secret/{name}")].secret.header.lower() for name in names}
        assert len(headers) == len(names), "a header has two secrets"
