"""A fleet with calls under way, for tests that break it: what the probes' steps work with."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from limelever.common.errors import Failure
from limelever.protocol.config_pb2 import Resource, Share
from limelever_lab.fleet.deployment import load_deployment
from limelever_lab.fleet.fleet import Fleet
from limelever_lab.fleet.layout import FleetSize
from limelever_lab.fleet.member import Member
from limelever_lab.fleet.processes import LabProcess, wait_until_listening
from limelever_lab.fleet.version_watch import Reversion, VersionWatch
from limelever_lab.load.audit import Audit, audit
from limelever_lab.load.background import BackgroundLoad
from limelever_lab.load.caller import CallerSettings
from limelever_lab.load.calls import ArrivalSettings
from limelever_lab.load.generator import LoadSettings
from limelever_lab.load.outcomes import AttemptOutcome, CallRecord, Fate

PROBE_SIZE = FleetSize(zones=2, instances=2, linked_relays=1)
CALLS_A_SECOND = 40.0
ABANDON_PERCENT = 5.0
PATIENCE_SECONDS = 30.0
WARM_UP_SECONDS = 1.0


class ProbedFleet:
    """A small fleet that is kept over the scenarios of a feature, mended between them."""

    def __init__(self, deployment: str) -> None:
        self._scratch = tempfile.TemporaryDirectory(prefix="limelever-probe-")
        self.fleet = Fleet(load_deployment(deployment), Path(self._scratch.name), PROBE_SIZE)
        self._changes = 0
        self._seed = 0
        self._load: BackgroundLoad | None = None
        self._watch: VersionWatch | None = None

    def start(self) -> None:
        """Start the fleet and apply the deployment's resources."""
        self.fleet.start()
        output = self.fleet.operator.run("apply", str(self.fleet.layout.deployment.resources_file))
        if output.status != 0:
            raise RuntimeError(f"apply was refused: {output.text}")
        for proxy in self.fleet.proxies:
            proxy.wait_ready()

    def close(self) -> None:
        """Kill the fleet and remove its files."""
        self.fleet.__exit__()
        self._scratch.cleanup()

    def mend(self) -> None:
        """Bring back what a scenario left broken."""
        for relay in range(PROBE_SIZE.linked_relays):
            self.fleet.command_links(relay, "heal")
        for place, backend in zip(self.fleet.layout.agents, self.fleet.backends, strict=True):
            if not backend.running:
                self.restart_backend(backend, place.backend_port)
        for member in self.fleet.members:
            member.resume()
            if not member.process.running:
                member.process.start()
        for member in self.fleet.members:
            member.wait_ready()

    def begin_calls(self) -> None:
        """Start calls and the watch on versions; calls under way are there on return."""
        self._seed += 1
        settings = LoadSettings(
            targets=self.fleet.targets,
            classes=self.fleet.layout.deployment.calls,
            arrivals=ArrivalSettings(CALLS_A_SECOND, self._seed, ABANDON_PERCENT),
            caller=CallerSettings(patience=PATIENCE_SECONDS, refusal_patience=PATIENCE_SECONDS),
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

    def cut_calls(self) -> tuple[CallRecord, ...]:
        """Return the finished calls of which an attempt lost its connection so far."""
        records = self._load.records if self._load else []
        return tuple(r for r in records if AttemptOutcome.CUT in r.attempts)

    def change(self) -> int:
        """Apply a change and return its version; raises ``RuntimeError`` when it is refused."""
        self._changes += 1
        call_class = self.fleet.layout.deployment.calls[0]
        weight = 100 + self._changes
        share = Share(service=call_class.service, group=call_class.group, weight=weight)
        accepted = self.fleet.operator.put(Resource(share=share))
        if isinstance(accepted, Failure):
            raise RuntimeError(f"change was refused: {accepted}")
        return accepted.version

    def find(self, role: str, number: int) -> Member:
        """Return a member by role and number, from 1."""
        groups = {
            "relay": self.fleet.relays,
            "proxy": self.fleet.proxies,
            "agent": self.fleet.agents,
        }
        return groups[role][number - 1]

    def restart_backend(self, backend: LabProcess, port: int) -> None:
        """Start a back end again and wait until it listens."""
        backend.start()
        wait_until_listening(port)


class ProbeOutcome:
    """What a scenario's calls came to."""

    def __init__(
        self, records: tuple[CallRecord, ...], found: Audit, reversions: tuple[Reversion, ...]
    ) -> None:
        self.records = records
        self.audit = found
        self.reversions = reversions

    @property
    def answered(self) -> int:
        """Return how many calls were answered."""
        return sum(record.fate is Fate.ANSWERED for record in self.records)

    @property
    def failed(self) -> tuple[CallRecord, ...]:
        """Return the calls that were not answered, for the report of a failure."""
        return tuple(record for record in self.records if record.fate is not Fate.ANSWERED)
