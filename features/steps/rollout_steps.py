"""Steps for rollouts: canary analysis, progression, split at the proxies, tallies, state."""

from __future__ import annotations

import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from limelever.agent.version_outcomes import VersionOutcomeCounter
from limelever.common.instance_runs import InstanceRun
from limelever.common.sansio import Address
from limelever.protocol.config_pb2 import (
    CALL_KIND_REPEATABLE,
    ROLLOUT_STATE_COMPLETED,
    ROLLOUT_STATE_ROLLED_BACK,
    ROLLOUT_STATE_RUNNING,
    Batch,
    Resource,
    Revision,
    Rollout,
    Route,
    Service,
)
from limelever.protocol.keys import rollout_key
from limelever.proxy.endpoints import EndpointEntry, EndpointKey
from limelever.proxy.version_gate import VersionGate
from limelever.relay.tally_store import TallyStore
from limelever.rollout.canary_analysis import Finding, Verdict, analyze
from limelever.rollout.progression import (
    ALL_PERMILLE,
    Advance,
    ExposureLimit,
    Finish,
    RolloutProgress,
    Wait,
    decide,
)
from limelever.rollout.tally import Tally, answer_count, merge_tallies
from limelever.source.state import StateMachine

PROPERTY_SETTINGS = hypothesis_settings(
    derandomize=True, database=None, deadline=None, max_examples=60
)
STATES = {
    "running": ROLLOUT_STATE_RUNNING,
    "completed": ROLLOUT_STATE_COMPLETED,
    "rolled back": ROLLOUT_STATE_ROLLED_BACK,
}
LIMIT = ExposureLimit(0.1)
GOOD = Verdict(Finding.GOOD, "good")
POLL_INTERVAL = 0.1
"""Seconds between two decisions on a rollout."""

SEEDS = 50
MIN_CALLS, MAX_CALLS = 60, 600
DURATION_FACTORS = (0.6, 0.7, 1.0, 1.4, 1.6)
"""Durations of calls at the instances of one service, relative to the mean."""


class RandomService:
    """A service with two to four routes, called at random.

    ``fault`` makes a fraction of the calls to "v2" bad: "fails", "slow", or empty for none.
    """

    def __init__(self, seed: int, fault: str) -> None:
        self._random = random.Random(seed)
        self.fault = fault
        count = self._random.randint(2, 4)
        self._routes = [
            (f"r-{n}", self._random.uniform(0.02, 0.9), self._random.uniform(0.3, 0.8))
            for n in range(count)
        ]
        self._weights = [self._random.uniform(0.2, 1.0) for _ in range(count)]
        self._failure_rate = self._random.uniform(0.0, 0.01)
        self._bad_fraction = self._random.uniform(0.3, 1.0)
        self._slowdown = self._random.uniform(5.0, 9.0)

    def tallies(self, version: str, calls: int, instances: int) -> list:
        tallies = []
        for number in range(instances):
            tally = Tally("orders", f"{version}-{number}", version, 1)
            factor = self._random.choice(DURATION_FACTORS)
            for _ in range(calls // instances):
                self._call(tally, factor, version)
            tallies.append(tally.message())
        return tallies

    def _call(self, tally: Tally, factor: float, version: str) -> None:
        route, mean, spread = self._random.choices(self._routes, self._weights)[0]
        duration = mean * factor * self._random.lognormvariate(0.0, spread)
        failed = self._random.random() < self._failure_rate
        if version == "v2" and self.fault and self._random.random() < self._bad_fraction:
            failed = failed or self.fault == "fails"
            duration *= self._slowdown if self.fault == "slow" else 1.0
        tally.add_call(route, duration, failed)


def finding(seed: int, fault: str, calls: int) -> Finding:
    random_service = RandomService(seed, fault)
    baseline = merge_tallies(random_service.tallies("v1", 4000, 40))
    return analyze(merge_tallies(random_service.tallies("v2", calls, 2)), baseline).finding


@given('random services, whose version "v2" is compared with the baseline "v1"')
def step_random_services(context):
    context.findings = {
        "": Counter(finding(seed, "", MAX_CALLS) for seed in range(SEEDS)),
        "fails": Counter(finding(seed, "fails", MAX_CALLS) for seed in range(SEEDS)),
        "slow": Counter(finding(seed, "slow", MAX_CALLS) for seed in range(SEEDS)),
    }


@then("at most 1 in 100 good versions is found bad or suspect")
def step_good_found(context):
    found = context.findings[""]
    assert found[Finding.BAD] + found[Finding.SUSPECT] <= SEEDS // 100, found


@then("at least 98 in 100 bad versions are found bad within 600 calls")
def step_bad_found(context):
    for fault in ("fails", "slow"):
        found = context.findings[fault]
        assert found[Finding.BAD] >= SEEDS * 98 // 100, (fault, found)


def sums(version, **by_route):
    """Return sums by route, from the counts of successful and failed calls."""
    tally = Tally("orders", version, version, 1)
    for route, (succeeded, failed) in by_route.items():
        for number in range(succeeded + failed):
            tally.add_call(route, 0.1, number >= succeeded)
    return merge_tallies([tally.message()])


@given("a version whose rare route fails 5 of 10 calls while other routes succeed")
def step_rare_route(context):
    target = sums("v2", common=(300, 1), rare=(10, 10))
    context.verdict = analyze(target, sums("v1", common=(9000, 30), rare=(600, 2)))


@then("it is found bad, and the reason names the route")
def step_rare_route_named(context):
    assert context.verdict.finding is Finding.BAD, context.verdict
    assert context.verdict.reason.startswith("route rare: 10 of 20"), context.verdict


@given("a version and a baseline that both fail 2 of 10 calls")
def step_shared_failures(context):
    context.verdict = analyze(sums("v2", one=(160, 40)), sums("v1", one=(1600, 400)))


@then("the version is found good")
def step_good(context):
    assert context.verdict.finding is Finding.GOOD, context.verdict


@given("the tallies of several agents, their sums don't depend on the order")
def step_merged_tallies(context):
    calls = st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 50), st.booleans()), max_size=9)

    @PROPERTY_SETTINGS
    @examples(st.lists(calls, max_size=5), st.randoms(use_true_random=False))
    def check(agents, random_source):
        tallies = []
        for number, agent_calls in enumerate(agents):
            tally = Tally("orders", str(number), "v1", 1)
            for call in agent_calls:
                tally.add_call(*call)
            tallies.append(tally.message())
        shuffled = list(tallies)
        random_source.shuffle(shuffled)
        assert merge_tallies(tallies) == merge_tallies(shuffled)
        assert sum(map(answer_count, tallies)) == sum(map(len, agents))

    check()


@given("a rollout of {seconds:d} seconds at a service with {count:d} back ends")
def step_rollout(context, seconds, count):
    context.duration, context.count = float(seconds), count


def run_rollout(context, verdict_at, target_ready=40):
    """Run a rollout; return its end, first step, the part of calls to the target, end time."""
    permille, exposure, first = 0, 0.0, None
    for poll in range(int(context.duration / POLL_INTERVAL) + 1):
        elapsed = poll * POLL_INTERVAL
        progress = RolloutProgress(permille, elapsed, context.duration, context.count, target_ready)
        decision = decide(progress, verdict_at(elapsed, permille), LIMIT)
        exposure += permille / ALL_PERMILLE * POLL_INTERVAL / context.duration
        if isinstance(decision, Advance):
            permille = decision.permille
            first = first if first is not None else permille
        elif isinstance(decision, Finish):
            return decision, first, exposure, elapsed
        else:
            assert isinstance(decision, Wait)
    raise AssertionError("the rollout runs beyond its deadline")


@then("its first step is {permille:d} permille")
def step_first_step(context, permille):
    _, first, _, _ = run_rollout(context, lambda elapsed, step: GOOD)
    assert first == permille


@then("a version that stays good is completed before the deadline")
def step_completed(context):
    end, _, _, elapsed = run_rollout(context, lambda elapsed, step: GOOD)
    assert end.completed and elapsed < context.duration, (end, elapsed)


@then("a version that turns bad only at the end received less than a tenth of the calls")
def step_exposure(context):
    def verdict(elapsed, step):
        late = step == ALL_PERMILLE and elapsed >= context.duration - 0.3
        return Verdict(Finding.BAD, "late") if late else GOOD

    end, _, exposure, _ = run_rollout(context, verdict)
    assert not end.completed and exposure < LIMIT.fraction, (end, exposure)


@then("without a ready back end of the target version it is rolled back before the deadline")
def step_no_back_end(context):
    end, _, exposure, elapsed = run_rollout(context, lambda elapsed, step: GOOD, target_ready=0)
    assert not end.completed and not exposure and elapsed < context.duration, end


@then("without enough answers it is rolled back before the deadline")
def step_unknown(context):
    unknown = Verdict(Finding.UNKNOWN, "nothing")
    end, _, _, elapsed = run_rollout(context, lambda elapsed, step: unknown)
    assert not end.completed and elapsed < context.duration, end


@then("a suspect version is rolled back before the deadline")
def step_suspect(context):
    suspect = Verdict(Finding.SUSPECT, "suspect")
    end, _, _, elapsed = run_rollout(context, lambda elapsed, step: suspect)
    assert not end.completed and elapsed < context.duration, end


@then("a version that turns bad after {seconds:d} seconds is rolled back then")
def step_bad_at(context, seconds):
    bad = Verdict(Finding.BAD, "bad")
    end, _, _, elapsed = run_rollout(
        context, lambda elapsed, step: bad if elapsed >= seconds else GOOD
    )
    assert not end.completed and elapsed < seconds + 2 * POLL_INTERVAL, (end, elapsed)


def entry(name, version):
    key, address = EndpointKey("orders", name), Address("127.0.0.1", 1)
    run = InstanceRun(*key)
    return EndpointEntry(key, "a", 1, 1, address, 6, False, 0.0, run, version=version)


@given('a service with endpoints of versions "v1" and "v2", and one of unknown version')
def step_endpoints(context):
    context.usable = (
        *(entry(f"old-{n}", "v1") for n in range(20)),
        *(entry(f"new-{n}", "v2") for n in range(20)),
        entry("unknown", ""),
    )
    context.gates = [VersionGate(random.Random(seed)) for seed in (1, 2)]


@when('its rollout from "{baseline}" to "{target}" is {state} at {permille:d} permille')
def step_rollout_state(context, baseline, target, state, permille):
    rollout = Rollout(
        service="orders", target=target, baseline=baseline, state=STATES[state], permille=permille
    )
    for gate in context.gates:
        gate.set_rollouts({"orders": rollout})


@then('{part} of its calls go to "v2" and the others to "v1"')
def step_split(context, part):
    calls = 2000
    pools = [context.gates[0].eligible("orders", context.usable) for _ in range(calls)]
    versions = [{entry.version for entry in pool} for pool in pools]
    assert all(len(each) == 1 for each in versions)
    counts = Counter(version for each in versions for version in each)
    assert not counts[""]
    wanted = {"none": (0, 0), "all": (calls, calls), "about 50 permille": (60, 140)}[part]
    assert wanted[0] <= counts["v2"] <= wanted[1], counts


@then('two proxies send the canary calls to the same {count:d} endpoint of "v2"')
def step_same_endpoints(context, count):
    canaries = []
    for gate in context.gates:
        pools = [gate.eligible("orders", context.usable) for _ in range(2000)]
        canaries.append({e.key for pool in pools for e in pool if e.version == "v2"})
    assert canaries[0] == canaries[1] and len(canaries[0]) == count, canaries


@then("all its endpoints may receive calls")
def step_all_endpoints(context):
    assert context.gates[0].eligible("orders", context.usable) is context.usable


def replacing_batch(number, service, route):
    put = [
        Resource(service=Service(name=service)),
        Resource(
            route=Route(
                name=route, service=service, path_prefix="/", call_kind=CALL_KIND_REPEATABLE
            )
        ),
    ]
    return Batch(replace=True, put=put, revision=Revision(number=number, base=number - 1))


@given("a state with a service, a route to it and a rollout")
def step_state(context):
    context.state = StateMachine()
    context.state.apply(1, replacing_batch(1, "orders", "one"))
    rollout = Rollout(service="orders", target="v2", state=ROLLOUT_STATE_RUNNING, duration_ms=1)
    batch = Batch(request_id="rollout-one@1", put=[Resource(rollout=rollout)])
    assert context.state.apply(2, batch).applied is not None
    context.number = 1


@when("a replacing batch contains the service and another route")
def step_replace_same_service(context):
    assert context.state.apply(3, replacing_batch(2, "orders", "two")).applied is not None


@when("a replacing batch contains another service")
def step_replace_other_service(context):
    assert context.state.apply(4, replacing_batch(3, "stock", "two")).applied is not None


@then("the rollout is kept")
def step_kept(context):
    assert context.state.get(rollout_key("orders")) is not None


@then("the rollout is removed")
def step_removed(context):
    assert context.state.get(rollout_key("orders")) is None


@given('an agent\'s count of version "v2" whose back end warms up for {seconds:d} seconds')
def step_agent_count(context, seconds):
    context.count = VersionOutcomeCounter("orders", "one", "")
    context.count.set_version("v2", float(seconds), 0.0)


@when("a rollout runs and calls end at 1, 4 and 4.1 seconds")
def step_calls_end(context):
    context.count.track_rollout(Rollout(state=ROLLOUT_STATE_RUNNING, ordered_at_ms=7))
    for now in (1.0, 4.0, 4.1):
        context.count.record_call("one", 0.5, False, now)


@then("2 calls are reported, and nothing more until another ends")
def step_reported(context):
    report = context.count.take_report(5.0)
    assert (answer_count(report), report.version, report.rollout) == (2, "v2", 7), report
    assert context.count.take_report(6.0) is None
    context.count.record_call("one", 0.5, False, 7.0)
    assert answer_count(context.count.take_report(7.0)) == 3


@when("the rollout is over")
def step_rollout_over(context):
    context.count.track_rollout(Rollout(state=ROLLOUT_STATE_COMPLETED, ordered_at_ms=7))


@then("ended calls are not counted")
def step_not_counted(context):
    context.count.record_call("one", 0.5, False, 9.0)
    assert context.count.take_report(9.0) is None


@given("a relay's tally store with another relay subscribed")
def step_tally_store(context):
    context.store = TallyStore()
    assert context.store.add_relay(9) == []


@when("an agent sends tallies of 5 calls, then of 3, then of 8")
def step_agent_sends(context):
    context.sent = []
    for calls in (5, 3, 8):
        tally = Tally("orders", "one", "v2", 7)
        for _ in range(calls):
            tally.add_call("one", 0.1, False)
        context.sent += context.store.merge_from_agent(tally.message())


@then("the other relay received tallies of 5 and 8 calls")
def step_forwarded(context):
    assert [answer_count(each.message) for each in context.sent] == [5, 8]
    assert {each.connection for each in context.sent} == {9}


@then("the store holds 8 calls for the rollout and none for another")
def step_store_holds(context):
    assert [answer_count(each) for each in context.store.for_rollout("orders", 7)] == [8]
    assert not context.store.for_rollout("orders", 8)
