"""Steps for the experiments' arithmetic, results and drawings."""

from __future__ import annotations

import json
import random
import statistics
import tempfile
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from limelever.common.sansio import (
    Address,
    ConnectionOpened,
    MessageReceived,
    OpenConnection,
    Peer,
    Purpose,
    ReplaceFile,
    Role,
    SendMessage,
    Started,
    WriteCompleted,
)
from limelever.protocol.config_pb2 import Resource, Service, VersionedResource
from limelever.protocol.digest import SetDigest
from limelever.protocol.distribution_pb2 import (
    ConfigSnapshot,
    FreshnessAnswer,
    FreshnessProbe,
    Subscribe,
)
from limelever.subscriber.settings import SubscriberSettings
from limelever_lab.bench.batching import BatchingDetails, BatchingPoint
from limelever_lab.bench.changes import ConvergenceFigures
from limelever_lab.bench.full_push import FullPushCore
from limelever_lab.bench.linear_fit import fit
from limelever_lab.bench.machine import MachineLoad, machine_since
from limelever_lab.bench.quantiles import Quantiles
from limelever_lab.bench.results import BenchResult, BenchSettings, Experiment, Ratio
from limelever_lab.bench.testbed import durations
from limelever_lab.hollow.scopes import scope_of, service_of
from limelever_lab.reports.command import draw_all
from limelever_lab.reports.kept_results import batch_curves
from limelever_lab.reports.target import TargetSize, work_out

NOW = 100.0
READERS = (11, 12)


def numbers(text):
    return [float(word) for word in text.replace(" and ", ", ").split(", ")]


@given("bench sizes {sizes} with values {values}")
def step_sizes(context, sizes, values):
    context.sizes, context.values = numbers(sizes), numbers(values)


@when("a bench line is fitted")
def step_fit(context):
    context.line = fit("quantity", "unit", context.sizes, context.values)


@then("the bench line is {intercept:g} + {slope:g} a size, with an error of {error:g}")
def step_line(context, intercept, slope, error):
    assert abs(context.line.intercept - intercept) < 1e-9, context.line
    assert abs(context.line.slope - slope) < 1e-9, context.line
    assert abs(context.line.slope_error - error) < 1e-6, context.line


@then("the bench line is {intercept:g} + {slope:g} a size, with an error that is not known")
def step_line_without_error(context, intercept, slope):
    assert (context.line.intercept, context.line.slope) == (intercept, slope), context.line
    assert context.line.slope_error is None


@then("the bench line gives {value:g} at {size:g}")
def step_line_at(context, value, size):
    assert context.line.at(size) == value


@then("no bench line can be fitted")
def step_no_line(context):
    try:
        fit("quantity", "unit", context.sizes, context.values)
    except statistics.StatisticsError:
        return
    raise AssertionError("a line was fitted through one size")


@given("bench durations of 1 to 1000 ms")
def step_durations(context):
    taken = [milliseconds / 1000 for milliseconds in range(1, 1001)]
    random.Random(1).shuffle(taken)
    context.quantiles = Quantiles.of(taken)


@then("their bench p50 is {p50:g} ms, p99 {p99:g} ms and the longest {longest:g} ms, to 0.2 %")
def step_quantiles(context, p50, p99, longest):
    found = context.quantiles
    for value, expected in ((found.p50_ms, p50), (found.p99_ms, p99), (found.max_ms, longest)):
        assert abs(value - expected) <= expected * 0.002, found
    assert found.count == 1000


@given(
    "bench readers that had a version {first:g}, {second:g} and no seconds after it was accepted"
)
def step_readers(context, first, second):
    context.taken = durations(NOW, [NOW + first, NOW + second, None])


@then("the bench durations are {first:g} and {second:g} seconds")
def step_taken(context, first, second):
    assert context.taken == [first, second]


def batching_details():
    figures = ConvergenceFigures(2, Quantiles.of([0.1, 0.2]), Quantiles.of([0.2]), 0)
    points = tuple(
        BatchingPoint(delay, 20.0, figures, bytes_per_change, 40.0)
        for delay, bytes_per_change in ((0, 100.0), (250, 20.0))
    )
    return BatchingDetails(250, 40, points)


def bench_result(seed, ratios=()):
    return BenchResult(
        experiment=Experiment.BATCHING,
        settings=BenchSettings("results", (10,), seed),
        machine=machine_since(MachineLoad(0.0, 0.0, 0)),
        seconds=1.0,
        details=batching_details(),
        ratios=ratios,
    )


def scratch(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


@given("a bench result with seed {seed:d} and a ratio of {measured:g} to {baseline:g}")
def step_result(context, seed, measured, baseline):
    context.result = bench_result(seed, (Ratio("what", measured, baseline),))


@when("the bench result is written and read")
def step_write(context):
    context.folder = scratch(context)
    path = context.folder / "batching-results.json"
    context.result.write(path)
    context.kept_result = json.loads(path.read_text())


@then("it holds seed {seed:d}, the commit and the ratio {ratio:g}")
def step_holds(context, seed, ratio):
    assert context.kept_result["settings"]["seed"] == seed
    assert context.kept_result["machine"]["code"]["commit"] == context.result.machine.code.commit
    assert context.kept_result["ratios"][0]["value"] == ratio


@then("the bench result is read as a curve of {count:d} batch delays")
def step_curve(context, count):
    (curve,) = batch_curves(context.folder)
    assert (curve.deployment, curve.own_batch_delay_ms) == ("results", 250)
    assert [point.bytes_per_change for point in curve.points] == [100.0, 20.0]
    assert len(curve.points) == count


@given("kept bench results of batching, recovery and shares")
def step_kept(context):
    context.folder = scratch(context)
    bench_result(1).write(context.folder / "batching-results.json")
    write = {"at": 0.5, "answered_ms": 20.0, "in_force_ms": None}
    course = {"writes": [write], "moments": [{"at": 0.4, "what": "replica lost"}]}
    recovery = {"settings": {"deployment": "koszyk"}, "details": course}
    (context.folder / "recovery-koszyk.json").write_text(json.dumps(recovery))
    group = {"group": "small", "served_part": 0.2, "entitled_part": 0.125}
    shares = {"phases": [{"name": "small floods, shares", "groups": [group]}]}
    (context.folder / "shares-koszyk.json").write_text(json.dumps(shares))


@when("the bench report is drawn twice")
def step_draw(context):
    runs = [draw_all(context.folder, context.folder / name) for name in ("first", "second")]
    context.drawn = [[path.read_bytes() for path in run] for run in runs]


@then("{count:d} bench drawings are the same both times")
def step_same(context, count):
    first, second = context.drawn
    assert len(first) == count
    assert first == second


@when("the bench report is drawn of an empty folder")
def step_draw_empty(context):
    folder = scratch(context)
    context.drawn = draw_all(folder, folder / "plots")


@then("no bench drawing was made")
def step_none_drawn(context):
    assert context.drawn == []


@given("bench scopes of {drawn:d} services of {services:d} in {classes:d} classes")
def step_scopes(context, drawn, services, classes):
    settings = SimpleNamespace(
        seed=1,
        scopes=classes,
        services=tuple(f"service-{number}" for number in range(services)),
        scope_services=drawn,
        common_services=("common",),
    )
    context.settings = settings
    context.scopes = [scope_of(settings, node) for node in range(2 * classes)]


@then("node {one:d} and node {other:d} have one bench scope, and the {classes:d} classes differ")
def step_one_scope(context, one, other, classes):
    assert context.scopes[one] == context.scopes[other]
    assert len(set(context.scopes)) == classes


@then("each bench scope holds the common services")
def step_common(context):
    assert all("common" in scope for scope in context.scopes)


@when("the bench agents of {nodes:d} nodes choose their services")
def step_agents_choose(context, nodes):
    context.chosen = Counter(service_of(context.settings, node) for node in range(nodes))


@then("each of {services:d} services has {count:d} bench agents")
def step_agents_spread(context, services, count):
    assert len(context.chosen) == services
    assert set(context.chosen.values()) == {count}


@given("a bench full push that holds version {version:d}")
def step_full_push(context, version):
    settings = SubscriberSettings(publishers=(Address("127.0.0.1", 1),), everything=True)
    core = FullPushCore(settings, random.Random(1))
    services = (Service(name=name) for name in ("catalogue", "order"))
    context.resources = [
        VersionedResource(resource=Resource(service=service), version=version)
        for service in services
    ]
    snapshot = ConfigSnapshot(
        version=version,
        resources=context.resources,
        digest=SetDigest.of(context.resources).to_bytes(),
    )
    context.core = core
    hold(core, snapshot)


def hold(core, snapshot):
    """Give a core what its publisher would, until it holds the snapshot."""
    waiting = [Started()]
    while waiting:
        for output in core.handle(waiting.pop(0), NOW):
            waiting.extend(publisher_answers(output, snapshot))
    assert core.version == snapshot.version


def publisher_answers(output, snapshot):
    """Return the events that an output of the core leads to."""
    match output:
        case OpenConnection(connection):
            source = Peer(Role.SOURCE, "source-1", "zone", Purpose.SUBSCRIPTION)
            return [ConnectionOpened(connection, source)]
        case SendMessage(connection, Subscribe()):
            return [MessageReceived(connection, snapshot)]
        case SendMessage(connection, FreshnessProbe() as probe):
            answer = FreshnessAnswer(nonce=probe.nonce, version=snapshot.version)
            return [MessageReceived(connection, answer)]
        case ReplaceFile(token=token):
            return [WriteCompleted(token)]
    return []


@when("two readers subscribe to the bench full push")
def step_subscribe(context):
    context.sent = []
    for connection in READERS:
        peer = Peer(Role.PROXY, f"reader-{connection}", "zone", Purpose.SUBSCRIPTION)
        context.core.handle(ConnectionOpened(connection, peer), NOW)
        outputs = context.core.handle(MessageReceived(connection, Subscribe()), NOW)
        context.sent += [output for output in outputs if isinstance(output, SendMessage)]


@then("each is sent the whole set at version {version:d}")
def step_whole(context, version):
    assert [output.connection for output in context.sent] == list(READERS)
    for output in context.sent:
        assert output.message.version == version
        assert list(output.message.resources) == context.resources


@given(
    'a kept bench line "{quantity}" of {intercept:g} + {slope:g} a node, with an error of {error:g}'
)
def step_kept_line(context, quantity, intercept, slope, error):
    context.folder = scratch(context)
    context.quantity = quantity
    line = {"quantity": quantity, "unit": "MiB", "intercept": intercept, "slope": slope}
    details = {"fits": [line | {"slope_error": error}]}
    (context.folder / "bytes-koszyk.json").write_text(json.dumps({"details": details}))


@when("bench lines are read at {size:g} nodes")
def step_read_lines(context, size):
    sizes = [TargetSize("bytes-koszyk", context.quantity, size, "all nodes")]
    context.worked = work_out(context.folder, sizes)


@when("bench lines of runs that are not kept are read at {size:g} nodes")
def step_read_missing_lines(context, size):
    sizes = [
        TargetSize("bytes-results", context.quantity, size, "all nodes"),
        TargetSize("bytes-koszyk", "agent memory", size, "all nodes"),
    ]
    context.worked = work_out(context.folder, sizes)


@then("the bench value at the target is {value:g}, with an error of {error:g}")
def step_worked_out(context, value, error):
    (worked,) = context.worked
    assert (worked.value, worked.error) == (value, error), worked


@then("there is no bench value at the target")
def step_nothing_worked_out(context):
    assert context.worked == []
