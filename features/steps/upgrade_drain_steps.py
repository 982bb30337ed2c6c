"""Steps for the laboratory's check of a drain, and for the settings that it writes."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.operator import CommandOutput
from limelever_lab.fleet.probe import PROBE_SIZE
from limelever_lab.upgrade import drain_check

ZONES = ("one", "two")


@when("the laboratory writes the settings of a fleet's processes")
def when_written(context):
    with tempfile.TemporaryDirectory() as folder:
        Fleet(load_deployment("koszyk"), Path(folder), PROBE_SIZE)
        context.texts = {each.stem: each.read_text() for each in Path(folder).glob("*.toml")}


@then("none of them names a region or zones, and the services are there")
def then_short(context):
    lines = [line for text in context.texts.values() for line in text.splitlines()]
    assert not [each for each in lines if each.startswith(("region", "zones"))], lines
    assert any(each.startswith("services") for each in lines), lines


class StandInFleet:
    """Answers orders; the runs of its zones grow at each look, but for those of a drained zone."""

    def __init__(self, answer: str, is_called: bool) -> None:
        self._answer, self._is_called = answer, is_called
        self._is_drained = False
        places = [SimpleNamespace(zone=zone) for zone in ZONES]
        self._runs = dict.fromkeys(ZONES, 0)
        self.agents, self.layout = places, SimpleNamespace(agents=places)
        self.operator = SimpleNamespace(run=self._run)
        self.fleet = self

    def _run(self, _zone: str, command: str, *_: str) -> CommandOutput:
        if command == "list":
            return CommandOutput(0, json.dumps({"drains": [{"followed": True}]}))
        self._is_drained = command == "drain"
        return CommandOutput(int(self._answer != "accepted"), self._answer)

    def runs_of(self, place: SimpleNamespace) -> int:
        if place.zone != ZONES[0] or not self._is_drained or self._is_called:
            self._runs[place.zone] += 1
        return self._runs[place.zone]


@given('a fleet whose operators see "{answer}" to a drain and whose drained zone {runs}')
def given_stand_in(context, answer, runs):
    context.check = drain_check.DrainCheck(StandInFleet(answer, runs == "is called"))


@when("the laboratory checks {what}")
def when_checked(context, what):
    action = context.check.expect_unavailable if what == "a refusal" else context.check.run
    context.error = ""
    short = {"FOLLOW_SECONDS": 0.0, "WATCHED_SECONDS": 0.0, "LIVENESS_LIMIT_SECONDS": 0.1}
    with mock.patch.multiple(drain_check, **short):
        try:
            action()
        except (RuntimeError, TimeoutError) as error:
            context.error = str(error)


@then("the check ends with {end}")
def then_ends(context, end):
    wanted = "" if end == "nothing" else end.strip('"')
    assert (wanted in context.error) if wanted else not context.error, context.error
