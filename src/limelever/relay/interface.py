"""Events and outputs of the relay's core, in addition to those of ``common.sansio``."""

from __future__ import annotations

from limelever.common.departed_runs import DepartedRun
from limelever.common.sansio import Address, Event, Output
from limelever.protocol.endpoints_pb2 import MachineNotice


class PlatformListRead(Event, frozen=True):
    """The platform's list of machines was read; ``notices`` names those leaving or dead."""

    notices: tuple[MachineNotice, ...]


class RelaysKnown(Event, frozen=True):
    """The current addresses of all relays, including this one."""

    addresses: tuple[Address, ...]


class StopRequested(Event, frozen=True):
    """A planned stop: subscribers and agents are asked to change to another relay at once."""


class DeparturesRecovered(Event, frozen=True):
    """The disk holds these departed runs from an earlier life of the relay.

    ``has_disk`` is false for a relay that is to keep them in memory only.
    """

    runs: tuple[DepartedRun, ...]
    has_disk: bool = True


class DeparturesWritten(Event, frozen=True):
    """The write of departed runs with this token is synced."""

    token: int


class WriteDepartures(Output, frozen=True):
    """Write the departed runs to disk; answered by ``DeparturesWritten``."""

    token: int
    content: bytes


class RelayReady(Output, frozen=True):
    """The relay holds a configuration and serves subscribers."""
