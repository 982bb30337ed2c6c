"""Steps for heartbeats of instances on the platform: what is a report, and what is refused."""

from __future__ import annotations

import json

from behave import given, then
from hypothesis import given as examples
from hypothesis import strategies as st
from platform_steps import NODE_FIELDS, PROPERTY  # platform_steps makes platform/ importable

from limelever.common.departed_runs import START_TIME_UNKNOWN
from limelever.common.errors import Failure
from limelever.common.sansio import Address
from limelever.node.settings import agent_settings

# isort: split
from http_calls import refused
from node_boot import node_settings
from report_format import parse_birth, parse_report


def heartbeat(**status):
    info = {"service": "alpha", "version": "v1", "zone": "one", "slots": 6}
    held = {"state": "ready", "seq": 4, "warmupLeftMs": 0}
    held.update(status)
    return {"address": "10.0.0.1:80", "info": info, "status": held}


CUT_SHORT = "cut short"
CHANGES = {
    "without its info": lambda value: value.pop("info"),
    "without a sequence": lambda value: value["status"].pop("seq"),
    "with a text for slots": lambda value: value["info"].update(slots="six"),
    "without an address": lambda value: value.pop("address"),
    "without a zone": lambda value: value["info"].pop("zone"),
    "without a version": lambda value: value["info"].pop("version"),
    "without its warm-up": lambda value: value["status"].pop("warmupLeftMs"),
    "of an unknown state": lambda value: value["status"].update(state="asleep"),
    "born at a text": lambda value: value.update(born="1700000000000"),
    "born at a fraction": lambda value: value.update(born=1.5),
    "with a half character": lambda value: value["info"].update(service="\ud800"),
}


@then("the platform's heartbeat that is {flaw} is refused with 400")
def then_heartbeat_refused(context, flaw):
    value = heartbeat()
    if flaw != CUT_SHORT:
        CHANGES[flaw](value)
    body = json.dumps(value).encode()
    report = parse_report("i-1", body[:-3] if flaw == CUT_SHORT else body)
    assert isinstance(report, Failure) and refused(report).status == 400, report


IDENTIFIERS = {
    "with a line break": "i-1\r\nX: y",
    "with a space": "i 1",
    "without a letter": "",
    "that is too long": "i" * 129,
}


@then("the platform's heartbeat of the instance {identifier} is refused with 400")
def then_identifier_refused(context, identifier):
    report = parse_report(IDENTIFIERS[identifier], json.dumps(heartbeat()).encode())
    assert isinstance(report, Failure) and refused(report).status == 400, report


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
FIELDS = ("address", "born", "info", "status")
PARTS = {
    "info": ("service", "version", "zone", "slots"),
    "status": ("state", "seq", "warmupLeftMs"),
}


@given("any bytes and any JSON as a heartbeat, each is a whole report or refused with 400")
def given_any_bytes(context):
    node = node_settings(NODE_FIELDS)
    places = [(name,) for name in FIELDS]
    places += [(table, name) for table, names in PARTS.items() for name in names]

    @PROPERTY
    @examples(st.binary(max_size=60), st.lists(st.tuples(st.sampled_from(places), ANY_JSON)))
    def check(noise, changes):
        value = heartbeat()
        for place, changed in changes:
            table = value
            for name in place[:-1]:
                table = table.get(name)
            if isinstance(table, dict):
                table[place[-1]] = changed
        for body in (noise, json.dumps(value).encode()):
            report = parse_report("i-1", body)
            if isinstance(report, Failure):
                assert refused(report).status == 400, report
            else:
                assert agent_settings(node, report, "one").service == report.service
                report.service.encode()
            born = parse_birth(body)
            assert isinstance(born, Failure) or born >= 0, born

    check()


@given("any heartbeat, the report says what it says")
def given_any_heartbeat(context):
    @PROPERTY
    @examples(
        st.sampled_from(["ready", "draining"]),
        st.integers(0, 10**6),
        st.integers(0, 9999),
        st.none() | st.integers(1, 1 << 42),
    )
    def check(state, sequence, warm_up, born):
        value = heartbeat(state=state, seq=sequence, warmupLeftMs=warm_up)
        if born is not None:
            value["born"] = born
        report = parse_report("i-1", json.dumps(value).encode())
        assert report.started_at_ms == (born or START_TIME_UNKNOWN)
        assert report.address == Address("10.0.0.1", 80)
        assert (report.instance, report.service, report.slots) == ("i-1", "alpha", 6)
        assert report.draining is (state == "draining")
        assert report.sequence == sequence
        assert report.warm_up_left == warm_up / 1000.0

    check()
