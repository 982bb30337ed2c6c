"""An order to drain a zone, during an upgrade and after it."""

from __future__ import annotations

import json
import time

from limelever.common.errors import ErrorKind
from limelever_lab.fleet.fleet import wait_until
from limelever_lab.fleet.operator import CommandOutput
from limelever_lab.fleet.probe import LIVENESS_LIMIT_SECONDS, ProbedFleet

FOLLOW_SECONDS = 5.0
"""Calls that were sent before the order may still run this long."""

WATCHED_SECONDS = 3.0


class DrainCheck:
    """Orders a drain by the operators' command line; raises ``RuntimeError`` when it goes wrong."""

    def __init__(self, fleet: ProbedFleet) -> None:
        self._fleet = fleet
        self._zone = fleet.fleet.agents[0].zone

    def expect_unavailable(self) -> None:
        """Check that the order is refused, as a member of the group runs an earlier build.

        An order between two leaders may have another answer first, but must not be accepted.
        """
        end = time.monotonic() + LIVENESS_LIMIT_SECONDS
        while time.monotonic() < end:
            output = self._run("drain", self._zone)
            if output.status == 0:
                raise RuntimeError(f"a drain was accepted in a mixed group: {output.text}")
            if ErrorKind.FEATURE_UNAVAILABLE.value in output.text:
                return
        raise RuntimeError(f"a drain was not refused by its level, but: {output.text}")

    def run(self) -> int:
        """Drain a zone, see that it is followed, withdraw it; return the calls run meanwhile."""
        self._order("drain")
        wait_until(self._is_followed, LIVENESS_LIMIT_SECONDS, "all readers hold the drain")
        time.sleep(FOLLOW_SECONDS)
        drained, others = self._runs()
        time.sleep(WATCHED_SECONDS)
        drained_then, others_then = self._runs()
        if drained_then != drained:
            raise RuntimeError(f"{drained_then - drained} calls ran in the drained zone")
        if others_then == others:
            raise RuntimeError("no call ran in the other zones during the drain")
        self._order("undrain")
        wait_until(
            lambda: self._runs()[0] > drained, LIVENESS_LIMIT_SECONDS, "the zone is used again"
        )
        return others_then - others

    def _order(self, command: str) -> None:
        output = self._run(command, self._zone)
        if output.status != 0:
            raise RuntimeError(f"zone {command} was refused: {output.text}")

    def _run(self, *arguments: str) -> CommandOutput:
        return self._fleet.fleet.operator.run("zone", *arguments)

    def _is_followed(self) -> bool:
        output = self._run("list", "--json")
        if output.status != 0:
            return False
        drains = json.loads(output.text)["drains"]
        return bool(drains) and all(each["followed"] for each in drains)

    def _runs(self) -> tuple[int, int]:
        """Return how many calls ran in the zone, and in the others."""
        fleet = self._fleet.fleet
        runs = [(place.zone == self._zone, fleet.runs_of(place)) for place in fleet.layout.agents]
        return sum(n for inside, n in runs if inside), sum(n for inside, n in runs if not inside)
