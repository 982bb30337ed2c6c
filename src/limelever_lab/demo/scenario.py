"""The demonstration's course of events on one deployment's fleet."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from limelever.common.errors import Failure
from limelever.protocol.config_pb2 import Resource, Share
from limelever_lab.demo.added_time import measure_added_time
from limelever_lab.demo.result import ControlBytes, DeploymentResult, PlannedStops
from limelever_lab.fleet.deployment import Deployment
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.member import Member
from limelever_lab.fleet.version_watch import VersionWatch
from limelever_lab.load.audit import audit
from limelever_lab.load.background import BackgroundLoad
from limelever_lab.load.caller import CallerSettings
from limelever_lab.load.calls import ArrivalSettings
from limelever_lab.load.generator import LoadSettings
from limelever_lab.load.outcomes import AttemptOutcome, CallRecord, quantiles, summarise

CHANGES = 20
LAST_CHANGES = 2
CHANGE_PAUSE_SECONDS = 0.1
SETTLE_SECONDS = 1.0
ABANDON_PERCENT = 2.0
REFUSAL_PATIENCE_SECONDS = 10.0

Say = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class DemoSettings:
    """Rate of calls a second, and the seed of everything that is drawn."""

    rate: float
    seed: int


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
        added_time = measure_added_time(fleet)
        watch = VersionWatch([*fleet.proxies, *fleet.agents])
        watch.start()
        self._load.start()
        under_load = self._break_under_load()
        records = self._load.stop()
        reversions = watch.stop()
        control_bytes = self._control_bytes()
        statuses = fleet.stop()
        return DeploymentResult(
            deployment=fleet.layout.deployment.name,
            processes=len(fleet.members) + len(fleet.backends),
            calls=summarise(records),
            audit=audit(records, fleet.run_counts()),
            reversions=tuple(reversions),
            changes=self._changes,
            convergence=quantiles(self._convergence),
            added_time=added_time,
            control_bytes=control_bytes,
            stops=PlannedStops({**statuses, **under_load.statuses}, under_load.cut_attempts),
            seconds=time.monotonic() - self._started,
        )

    def _break_under_load(self) -> PlannedStops:
        fleet = self._fleet
        self._change_under_load(CHANGES)
        self._kill_and_restart("relay", fleet.relays[0])
        self._kill_and_restart("source leader", fleet.leader())
        stopped = self._stop_and_restart([fleet.proxies[1], fleet.agents[0]])
        self._change_under_load(LAST_CHANGES)
        return stopped

    def _control_bytes(self) -> ControlBytes:
        proxies = self._fleet.proxies
        mean = sum(proxy.control_bytes() for proxy in proxies) / len(proxies)
        claims = sum(proxy.claim_bytes() for proxy in proxies) / len(proxies)
        seconds = time.monotonic() - self._started
        return ControlBytes(mean, mean / seconds, claims / seconds)

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

    def _stop_and_restart(self, members: Sequence[Member]) -> PlannedStops:
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
        return PlannedStops(statuses, cut)


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
