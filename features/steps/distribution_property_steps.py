"""Properties of distribution, by hypothesis over drawn changes, faults and bytes."""

import random

from behave import then
from distribution_harness import (
    Mesh,
    build,
    resource,
)
from distribution_readers import check_monotone, reader_settings
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

from limelever.common.backoff import Backoff, BackoffSettings
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.digest import SetDigest
from limelever.protocol.feature_level import (
    CURRENT_LEVEL,
    UNSTATED_LEVEL,
    level_of_resources,
)
from limelever.protocol.keys import Key
from limelever.publisher.resources import ResourceTable
from limelever.publisher.scope import Scope, closure_now
from limelever.publisher.settings import PublisherSettings
from limelever.publisher.view import ScopeView
from limelever.subscriber.configuration import ConfigurationSet
from limelever.subscriber.floor_file import decode_floor, encode_floor
from limelever.subscriber.held import HeldSet, from_delta

SERVICES = ("s0", "s1", "s2")
SECRETS = ("k0", "k1", "k2")
BASE = [build(f"service/{name}") for name in SERVICES] + [build(f"secret/{k}") for k in SECRETS]
CHANGES = st.one_of(
    st.tuples(
        st.just("route"),
        st.integers(0, 3),
        st.sampled_from(SERVICES),
        st.sets(st.sampled_from(SECRETS)),
    ),
    st.tuples(st.just("remove"), st.integers(0, 3)),
    st.tuples(st.just("secret"), st.sampled_from(SECRETS)),
    st.tuples(st.just("share"), st.sampled_from(SERVICES), st.integers(1, 9)),
    st.tuples(st.just("unshare"), st.sampled_from(SERVICES)),
    st.tuples(st.just("tenant"), st.integers(0, 2), st.integers(0, 3)),
    st.tuples(st.just("untenant"), st.integers(0, 2)),
    st.tuples(st.just("drain"), st.integers(0, 2), st.integers(0, 3)),
    st.tuples(st.just("undrain"), st.integers(0, 2)),
)


def as_change(change):
    """Return what a drawn change puts and removes."""
    match change:
        case ("route", number, service, secrets):
            return [build(f"route/r{number}", service, ",".join(sorted(secrets)))], []
        case ("remove", number):
            return [], [Key.of(resource(f"route/r{number}"))]
        case ("secret", name):
            return [resource(f"secret/{name}")], []
        case ("share", service, weight):
            return [resource(f"share/{service}/g", weight=weight)], []
        case ("unshare", service):
            return [], [Key.of(resource(f"share/{service}/g"))]
        case ("tenant", number, priority):
            return [resource(f"tenant/t{number}", priority=priority)], []
        case ("untenant", number):
            return [], [Key.of(resource(f"tenant/t{number}"))]
        case ("drain", number, at):
            return [resource(f"zone-drain/z{number}", ordered_at_ms=at)], []
        case ("undrain", number):
            return [], [Key.of(resource(f"zone-drain/z{number}"))]
    raise AssertionError(change)


@then("random histories reach the same scope by delta as by snapshot")
def step_any_to_any(context):
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @examples(
        st.lists(CHANGES, min_size=1, max_size=12),
        st.sampled_from([("s0",), ("s1", "s2"), ("s0", "missing")]),
        st.booleans(),
        st.booleans(),
        st.integers(UNSTATED_LEVEL, CURRENT_LEVEL),
    )
    def check(changes, services, everything, tenants, level):
        some = Scope(frozenset(services), tenants=tenants, level=level)
        scope = Scope(everything=True, level=level) if everything else some
        table = ResourceTable(window=64)
        table.load(1, [VersionedResource(resource=body, version=1) for body in BASE])
        closures = {1: dict(closure_now(scope, table))}
        for version, change in enumerate(changes, start=2):
            put, removed = as_change(change)
            versioned = [VersionedResource(resource=body, version=version) for body in put]
            table.advance(version, versioned, removed)
            closures[version] = dict(closure_now(scope, table))
            needed = level_of_resources(v.resource for v in closures[version].values())
            assert needed <= level, closures[version]
            view = ScopeView(scope, table)
            for earlier, held in closures.items():
                digest = SetDigest.of(held.values())
                assert view.digest_at(earlier) == digest.to_bytes()
                delta = view.delta_since(earlier)
                built = from_delta(HeldSet(earlier, ConfigurationSet(held), digest), delta)
                assert isinstance(built, HeldSet), built
                assert dict(built.configuration.resources) == closures[version]
                assert built.digest.to_bytes() == view.snapshot().digest

    check()


ACTIONS = st.one_of(
    CHANGES.map(lambda change: ("change", change)),
    st.sampled_from(
        ["restart", "lose disk", "cut", "mend", "lag", "catch up", "stall", "go on", "window"]
    ).map(lambda name: (name, None)),
)


@then("in random runs no reader goes backward, dangles, or fails to catch up")
def step_random_runs(context):
    @settings(max_examples=120, derandomize=True, deadline=None, database=None)
    @examples(st.lists(st.tuples(ACTIONS, st.sampled_from([0.01, 0.5, 4.0])), max_size=25))
    def check(actions):
        RandomRun().run(actions)

    check()


class RandomRun:
    """One reader, a current source and one that lags from time to time."""

    def __init__(self):
        self.mesh = Mesh(PublisherSettings(batch_delay=0.02, window=3))
        self.mesh.add_source("source")
        self.mesh.add_source("source-2")
        self.mesh.apply(BASE)
        self.truths = {1: self.mesh.scope_of(["s0"])}
        self.settings = reader_settings(self.mesh, "s0", "source, source-2")
        self.mesh.add_reader("proxy", self.settings)
        self.lagging = False

    def run(self, actions):
        for (name, detail), pause in actions:
            self._act(name, detail)
            self.mesh.network.run(pause)
            self._check()
        for name in ("go on", "mend", "catch up"):
            self._act(name, None)
        self.mesh.network.run(90.0)
        self._check()
        assert self.mesh.readers["proxy"][-1].subscriber.version == self.mesh.version

    def _check(self):
        check_monotone(self.mesh, "proxy")
        host = self.mesh.readers["proxy"][-1]
        if host.subscriber.version:
            assert dict(host.held) == self.truths[host.subscriber.version]

    def _act(self, name, detail):
        network = self.mesh.network
        match name:
            case "change":
                put, removed = as_change(detail)
                self.mesh.apply(put, removed, to=["source"] if self.lagging else None)
                self.truths[self.mesh.version] = self.mesh.scope_of(["s0"])
            case "restart" | "lose disk":
                network.kill("proxy")
                if name == "lose disk":
                    network.nodes["proxy"].files.clear()
                self.mesh.add_reader("proxy", self.settings)
            case "cut":
                network.cuts.add(frozenset(("proxy", "source")))
            case "mend":
                network.cuts.clear()
            case "lag":
                self.lagging = network.nodes["source-2"].core.isolated = True
            case "catch up":
                self.lagging = network.nodes["source-2"].core.isolated = False
                self.mesh.catch_up("source-2")
            case "stall":
                network.nodes["proxy"].disk_stalled = True
            case "go on":
                network.sync("proxy")


@then("floors are read back as written, and damaged ones as missing")
def step_floors(context):
    for version in (1, 9, 2**64 - 1):
        content = encode_floor(version)
        assert decode_floor(content) == version
        for index in range(len(content) - 1):
            damaged = bytearray(content)
            damaged[index] ^= 0x01
            assert decode_floor(bytes(damaged)) is None
    assert decode_floor(None) is None


@then("delays stay between the advice and the advice with the bound on top")
def step_backoff(context):
    bounds = BackoffSettings(base=0.5, maximum=4.0)
    herd = [Backoff(bounds, random.Random(seed)) for seed in range(1000)]
    for attempt in range(12):
        bound = min(4.0, 0.5 * 2**attempt)
        delays = [backoff.next_delay(retry_after=2.0) for backoff in herd]
        assert all(2.0 <= delay <= 2.0 + bound for delay in delays)
        assert max(delays) - min(delays) > 0.9 * bound
    herd[0].reset()
    assert herd[0].next_delay() <= 0.5
