"""The demonstration's course of events on one deployment's fleet."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from limelever.common.errors import Failure
from limelever.protocol.config_pb2 import Resource, Share
from limelever_lab.demo.result import Check, DeploymentResult
from limelever_lab.fleet.deployment import Deployment
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.member import Member
from limelever_lab.fleet.version_watch import VersionWatch
from limelever_lab.load.audit import audit
from limelever_lab.load.background import BackgroundLoad
from limelever_lab.load.caller import CallerSettings
from limelever_lab.load.calls import ArrivalSettings
from limelever_lab.load.generator import LoadSettings
from limelever_lab.load.outcomes import AttemptOutcome, CallRecord, Fate, quantiles, summarise

CHANGES = 20
CHANGE_PAUSE_SECONDS = 0.1
SETTLE_SECONDS = 1.0
CONVERGENCE_BOUND_SECONDS = 10.0
ABANDON_PERCENT = 2.0
REFUSAL_PATIENCE_SECONDS = 10.0

Say = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class DemoSettings:
    """Rate of calls a second, and the seed of everything that is drawn."""

    rate: float
    seed: int


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Planned stops under load: exit statuses, and the attempts that were cut meanwhile."""

    statuses: dict[str, int]
    cut_attempts: int


class Demonstration:
    """Runs the course of events on one fleet and keeps what it measures."""

    def __init__(self, fleet: Fleet, settings: DemoSettings, say: Say) -> None:
        self._fleet = fleet
        self._say = say
        self._settings = settings
        self._convergence: list[float] = []
        self._changes = 0
        self._started = time.monotonic()
        self._load = BackgroundLoad(load_settings(fleet, settings))

    def run(self) -> DeploymentResult:
        """Run everything and return the result; raises ``TimeoutError`` when something hangs."""
        fleet = self._fleet
        self._start_and_apply()
        watch = VersionWatch([*fleet.proxies, *fleet.agents])
        watch.start()
        self._load.start()
        self._change_under_load(CHANGES)
        self._kill_and_restart("relay", fleet.relays[0])
        self._kill_and_restart("source leader", fleet.leader())
        stopped = self._stop_and_restart([fleet.proxies[1], fleet.agents[0]])
        self._change_under_load(2)
        records = self._load.stop()
        reversions = watch.stop()
        per_proxy = [member.control_bytes() for member in fleet.proxies]
        seconds = time.monotonic() - self._started
        statuses = fleet.stop()
        return self._result(records, stopped, statuses, len(reversions), per_proxy, seconds)

    def _start_and_apply(self) -> None:
        fleet = self._fleet
        fleet.start()
        self._say(f"{len(fleet.members)} processes and {len(fleet.backends)} back ends are up")
        path = fleet.layout.deployment.resources_file
        output = fleet.operator.run("apply", str(path), "--json")
        if output.status != 0:
            raise RuntimeError(f"apply was refused: {output.text}")
        version = int(json.loads(output.text)["version"])
        fleet.wait_versions([*fleet.proxies, *fleet.agents], version)
        for proxy in fleet.proxies:
            proxy.wait_ready()
        self._say(f"applied {path.name} as version {version}; in force on every proxy and agent")

    def _change_under_load(self, count: int) -> None:
        readers = [*self._fleet.proxies]
        for _ in range(count):
            self._change(readers)
            time.sleep(CHANGE_PAUSE_SECONDS)
        self._say(f"{count} changes under load, in force on every proxy")

    def _change(self, readers: Sequence[Member]) -> None:
        self._changes += 1
        call_class = self._fleet.layout.deployment.calls[0]
        weight = 100 + self._changes
        share = Share(service=call_class.service, group=call_class.group, weight=weight)
        accepted = self._fleet.operator.put(Resource(share=share))
        if isinstance(accepted, Failure):
            raise RuntimeError(f"change was refused: {accepted}")
        times = self._fleet.wait_versions(readers, accepted.version)
        self._convergence.extend(max(0.0, moment - accepted.accepted_at) for moment in times)

    def _kill_and_restart(self, what: str, member: Member) -> None:
        member.kill()
        self._say(f"killed the {what} ({member.name}) under load")
        self._change(self._fleet.proxies)
        member.restart()
        self._change([*self._fleet.proxies, *self._fleet.agents])
        self._say(f"restarted {member.name}; changes before and after are in force everywhere")

    def _stop_and_restart(self, members: Sequence[Member]) -> PlannedStop:
        time.sleep(SETTLE_SECONDS)
        cut_before = count_cut(self._load.records)
        statuses = {}
        for member in members:
            statuses[member.name] = member.stop()
            time.sleep(SETTLE_SECONDS)
        cut = count_cut(self._load.records) - cut_before
        for member in members:
            member.restart()
        names = ", ".join(statuses)
        self._say(f"planned stop and restart of {names} under load; {cut} attempts cut")
        return PlannedStop(statuses, cut)

    def _result(
        self,
        records: Sequence[CallRecord],
        stopped: PlannedStop,
        statuses: dict[str, int],
        reversions: int,
        per_proxy: Sequence[float],
        seconds: float,
    ) -> DeploymentResult:
        calls = summarise(records)
        found = audit(records, self._fleet.run_counts())
        convergence = quantiles(self._convergence)
        bytes_per_proxy = sum(per_proxy) / len(per_proxy)
        checks = (
            Check("calls were answered", calls.count(Fate.ANSWERED) > 0),
            Check("no call lost", not found.lost and not found.answered_not_run, str(found)),
            Check("no call run twice", not found.run_twice, str(found.run_twice)),
            Check("no call refused as not run was run", not found.refused_but_ran),
            Check("every answer belonged to its call", not found.mismatched),
            Check("no process went back to an older version", reversions == 0),
            Check(
                "changes in force within seconds", convergence.largest < CONVERGENCE_BOUND_SECONDS
            ),
            Check("planned stop cut off no call", stopped.cut_attempts == 0),
            Check("planned stops exit 0", not any({**statuses, **stopped.statuses}.values())),
        )
        return DeploymentResult(
            deployment=self._fleet.layout.deployment.name,
            processes=len(self._fleet.members) + len(self._fleet.backends),
            calls=calls,
            lost=len(found.lost) + len(found.answered_not_run),
            run_twice=len(found.run_twice),
            changes=self._changes,
            convergence=convergence,
            control_bytes=bytes_per_proxy,
            control_bytes_per_second=bytes_per_proxy / seconds,
            seconds=seconds,
            checks=checks,
        )


def load_settings(fleet: Fleet, settings: DemoSettings) -> LoadSettings:
    """Return the load of a fleet: its deployment's calls to all its proxies."""
    return LoadSettings(
        targets=fleet.targets,
        classes=fleet.layout.deployment.calls,
        arrivals=ArrivalSettings(settings.rate, settings.seed, ABANDON_PERCENT),
        caller=CallerSettings(refusal_patience=REFUSAL_PATIENCE_SECONDS),
    )


def count_cut(records: Sequence[CallRecord]) -> int:
    """Return how many attempts lost their connection before the whole answer."""
    return sum(record.attempts.count(AttemptOutcome.CUT) for record in records)


def run_deployment(
    deployment: Deployment, folder: Path, settings: DemoSettings, say: Say
) -> DeploymentResult:
    """Run the demonstration on one deployment, with its files in ``folder``."""
    with Fleet(deployment, folder, seed=settings.seed) as fleet:
        return Demonstration(fleet, settings, say).run()
