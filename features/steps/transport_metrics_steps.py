"""Steps for metrics: the operators' page, events, connections, the configuration's age."""

from __future__ import annotations

import importlib
import math
import re
from pathlib import Path

import trio
import trio.testing
from behave import given, then
from http_server import HttpClient
from prometheus_client.parser import text_string_to_metric_families
from transport_server import wait_for

from limelever.common.sansio import Role
from limelever.common.settings import CredentialSettings, ProcessSettings
from limelever.transport import metrics
from limelever.transport.exposition import REGISTRY, exposition
from limelever.transport.process import ProcessShell

PAGE = Path(__file__).resolve().parents[2] / "docs" / "operators" / "metrics.md"
ROLES = ("source", "relay", "proxy", "agent")
ROW = re.compile(r"^\| `(\w+)` \|", re.MULTILINE)
AGE = "limelever_configuration_age_seconds"
EVENTS = "limelever_events_total"
GROUP_LEVEL = "limelever_group_feature_level"


def exposed_names() -> set[str]:
    """Return the names under which a scrape finds the metrics of all roles."""
    of_some_roles = (metrics.CONFIGURATION_AGE, metrics.GROUP_FEATURE_LEVEL)
    for gauge in of_some_roles:
        gauge.published = True
    try:
        families = list(REGISTRY.collect())
    finally:
        for gauge in of_some_roles:
            gauge.published = False
    return {f"{f.name}_total" if f.type == "counter" else f.name for f in families}


def samples(text: str) -> dict[tuple, float]:
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def counted_events(code: int) -> float:
    key = (EVENTS, (("code", str(code)),))
    return samples(exposition().decode()).get(key, 0.0)


def scrape(context) -> dict[tuple, float]:
    client = HttpClient(context.admin.address)
    client.ask("GET", "/metrics")
    text = client.body()
    client.close()
    return samples(text)


@then("docs/operators/metrics.md lists exactly the metrics that the roles publish")
def then_page_lists(context):
    for role in ROLES:
        importlib.import_module(f"limelever.{role}.process")
    listed = ROW.findall(PAGE.read_text())
    assert len(listed) == len(set(listed)), listed
    published = exposed_names()
    assert set(listed) == published, set(listed) ^ published


@then("a scrape finds the group's feature level only where a source publishes it")
def then_group_level(_context):
    before = samples(exposition().decode())
    metrics.publish_group_feature_level(lambda: 1)
    try:
        after = samples(exposition().decode())
    finally:
        metrics.GROUP_FEATURE_LEVEL.published = False
    assert (GROUP_LEVEL, ()) not in before
    assert after[(GROUP_LEVEL, ())] == 1.0


@given("the count of event {code:d} so far")
def given_count(context, code):
    context.counted_before = counted_events(code)


@then("/metrics counts one more event {code:d}")
def then_event_counted(context, code):
    assert len(context.admin.log.of(code)) == 1
    assert counted_events(code) == context.counted_before + 1


@then('/metrics shows {count:d} connections open at "{listener}"')
def then_connections_open(context, count, listener):
    key = ("limelever_http_connections_open", (("listener", listener),))
    assert wait_for(lambda: scrape(context)[key] == count), scrape(context)[key]


@given("a process whose configuration was proved current {proof}")
def given_proof(context, proof):
    context.seconds_ago = None if proof == "never" else float(proof.split()[0])


@then("its metric of the configuration's age is {age}")
def then_age(context, age):
    settings = ProcessSettings(
        role=Role.RELAY, name="relay-1", zone="zone-a", credentials=CredentialSettings()
    )

    async def main():
        async with trio.open_nursery() as nursery:
            shell = ProcessShell(settings, nursery, 0, "")
            proved = trio.current_time()
            shell.report_freshness(lambda: None if context.seconds_ago is None else proved)
            await trio.sleep(context.seconds_ago or 0)
            text = exposition().decode()
            context.age = samples(text)[(AGE, ())]

    try:
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        metrics.CONFIGURATION_AGE.published = False
    assert math.isclose(context.age, float(age)), context.age
