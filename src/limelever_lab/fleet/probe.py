"""A fleet with calls under way, for tests that break it: what the probes' steps work with."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from limelever.common.errors import Failure
from limelever.keeper.events import KEEPER_FORMED
from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.fleet.faults import Target, count_events
from limelever_lab.fleet.fleet import Fleet, wait_until
from limelever_lab.fleet.layout import FleetSize
from limelever_lab.fleet.member import Member
from limelever_lab.fleet.metrics import subscription_links
from limelever_lab.fleet.network import FleetNetwork
from limelever_lab.fleet.probe_changes import ProbeChanges
from limelever_lab.fleet.probe_outcome import ProbeOutcome
from limelever_lab.fleet.processes import LabProcess, wait_until_listening
from limelever_lab.fleet.version_watch import VersionWatch
from limelever_lab.load.audit import audit
from limelever_lab.load.background import BackgroundLoad
from limelever_lab.load.caller import CallerSettings
from limelever_lab.load.calls import ArrivalSettings
from limelever_lab.load.generator import LoadSettings
from limelever_lab.load.outcomes import AttemptOutcome, CallRecord

PROBE_SIZE = FleetSize(zones=2, instances=2, network=True, platform_lag_ms=2000)
CALLS_A_SECOND = 40.0
ABANDON_PERCENT = 5.0
PATIENCE_SECONDS = 60.0
"""How long a call may take to be answered once the scenario's faults are over."""
WARM_UP_SECONDS = 0.5
LIVENESS_LIMIT_SECONDS = 60.0
"""How long anything that must come about may take; no verdict but that it came about."""
QUIET_SECONDS = 2.0
EVERY = "every"


class ProbedFleet:
    """A small fleet that is kept over the scenarios of a feature, mended between them."""

    def __init__(self, deployment: str) -> None:
        self._scratch = tempfile.TemporaryDirectory(prefix="limelever-probe-")
        self.fleet = Fleet(load_deployment(deployment), Path(self._scratch.name), PROBE_SIZE)
        operator, classes = self.fleet.operator, self.fleet.layout.deployment.calls
        self.changes = ProbeChanges(operator, classes[0])
        self._seed = 0
        self._load: BackgroundLoad | None = None
        self._watch: VersionWatch | None = None

    @property
    def network(self) -> FleetNetwork:
        """Return the stand-in network between the processes."""
        if self.fleet.network is None:
            raise RuntimeError("the fleet was planned without a network")
        return self.fleet.network

    def start(self) -> None:
        """Start the fleet and apply the deployment's resources."""
        self.fleet.start()
        output = self.fleet.operator.run("apply", str(self.fleet.layout.deployment.resources_file))
        if output.status != 0:
            raise RuntimeError(f"apply was refused: {output.text}")
        for proxy in self.fleet.proxies:
            proxy.wait_ready()
        self.changes.apply()

    def close(self) -> None:
        """Kill the fleet and remove its files."""
        self.fleet.close()
        self._scratch.cleanup()

    def mend(self) -> None:
        """Bring back what a scenario left broken."""
        targets = self.targets()
        for target in targets:
            target.process.resume()
            if not target.process.running:
                target.process.start()
        for target in targets:
            target.recover(self.network)
        self.wait_whole()

    def targets(self) -> list[Target]:
        """Return everything that can be struck."""
        backends = zip(self.fleet.backends, self.fleet.layout.agents, strict=True)
        return [
            *(_member_target(member) for member in self.fleet.members),
            *(_backend_target(process, place.backend_port) for process, place in backends),
        ]

    def find(self, name: str) -> list[Target]:
        """Return what a scenario names: "the leader", "a follower", "proxy 1", "every relay".

        "the busiest relay" is the one with most subscribers: a fault of another one says little.
        """
        if name == "the leader":
            return [_member_target(self.fleet.leader())]
        if name == "a follower":
            leader = self.fleet.leader()
            return [_member_target(next(m for m in self.fleet.sources if m is not leader))]
        if name == "the busiest relay":
            relays = self.fleet.relays
            return [_member_target(max(relays, key=lambda r: subscription_links(r.samples())))]
        if name.startswith(EVERY):
            return self._group(name.removeprefix(EVERY).strip())
        role, _, number = name.rpartition(" ")
        return [self._group(role)[int(number) - 1]]

    def _group(self, role: str) -> list[Target]:
        """Return all of one role."""
        groups = {
            "source": self.fleet.sources,
            "relay": self.fleet.relays,
            "proxy": self.fleet.proxies,
            "agent": self.fleet.agents,
        }
        if role == "back end":
            return self.targets()[len(self.fleet.members) :]
        return [_member_target(member) for member in groups[role]]

    def begin_calls(self) -> None:
        """Start calls and the watch on versions; calls under way are there on return."""
        self._seed += 1
        settings = LoadSettings(
            targets=self.fleet.targets,
            classes=self.fleet.layout.deployment.calls,
            arrivals=ArrivalSettings(CALLS_A_SECOND, self._seed, ABANDON_PERCENT),
            caller=CallerSettings(
                patience=PATIENCE_SECONDS,
                refusal_patience=PATIENCE_SECONDS,
                counts_from_stop=True,
            ),
        )
        self._load = BackgroundLoad(settings)
        self._watch = VersionWatch([*self.fleet.proxies, *self.fleet.agents])
        self._load.start()
        self._watch.start()
        time.sleep(WARM_UP_SECONDS)

    def end_calls(self) -> ProbeOutcome:
        """End calls and watch, and return what was found; nothing when they were ended before."""
        if self._load is None or self._watch is None:
            return ProbeOutcome((), audit((), self.fleet.run_counts()), ())
        load, watch = self._load, self._watch
        self._load = self._watch = None
        reversions = watch.stop()
        records = load.stop()
        found = audit(records, self.fleet.run_counts())
        return ProbeOutcome(tuple(records), found, tuple(reversions))

    @property
    def finished_calls(self) -> tuple[CallRecord, ...]:
        """Return the calls that have met their fate so far."""
        return tuple(self._load.records) if self._load else ()

    def cut_calls(self) -> tuple[CallRecord, ...]:
        """Return the finished calls of which an attempt was cut off so far."""
        return tuple(record for record in self.finished_calls if _was_cut(record))

    def wait_whole(self) -> None:
        """Wait until the source counts all its replicas as voters again."""
        names = sorted(member.name for member in self.fleet.sources)
        wait_until(
            lambda: self._voters() == names, LIVENESS_LIMIT_SECONDS, "all replicas are voters"
        )

    def wait_keeper_formed(self, process: LabProcess, formed_before: int) -> None:
        """Wait until the keeper of a replica whose disk was lost votes again."""
        wait_until(
            lambda: count_events(process, KEEPER_FORMED) > formed_before,
            LIVENESS_LIMIT_SECONDS,
            f"the keeper of {process.name} votes",
        )

    def _voters(self) -> list[str]:
        status = self.fleet.operator.status()
        if isinstance(status, Failure):
            return []
        return sorted(member.name for member in status.members if member.voter)

    def runs_of(self, number: int) -> int:
        """Return how many calls a back end has run, from 1."""
        return self.fleet.runs_of(self.fleet.layout.agents[number - 1])

    def wait_quiet(self, count: Callable[[], int]) -> None:
        """Wait until a count has not changed for a while."""
        end = time.monotonic() + LIVENESS_LIMIT_SECONDS
        seen, since = count(), time.monotonic()
        while time.monotonic() - since < QUIET_SECONDS:
            time.sleep(0.1)
            now = count()
            if now != seen:
                seen, since = now, time.monotonic()
            if time.monotonic() > end:
                raise TimeoutError(f"still changing after {LIVENESS_LIMIT_SECONDS} s")


def _was_cut(record: CallRecord) -> bool:
    """Return whether an attempt lost its connection, or was answered that its fate is unknown.

    A call whose caller itself dropped an attempt may be told the latter rightly.
    """
    unknown = AttemptOutcome.UNKNOWN in record.attempts
    dropped = AttemptOutcome.ABANDONED in record.attempts
    return AttemptOutcome.CUT in record.attempts or (unknown and not dropped)


def _member_target(member: Member) -> Target:
    return Target(member.process, member.wait_ready, member.remove_data)


def _backend_target(process: LabProcess, port: int) -> Target:
    return Target(process, partial(wait_until_listening, port))
