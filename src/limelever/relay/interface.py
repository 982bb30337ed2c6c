"""What passes between the relay's core and its shell beyond the common contract."""

from __future__ import annotations

from dataclasses import dataclass

from limelever.common.sansio import Address, Event, Output
from limelever.protocol.endpoints_pb2 import MachineNotice


@dataclass(frozen=True, slots=True)
class PlatformListRead(Event):
    """The platform's list of machines was read: those leaving or dead, and no others."""

    notices: tuple[MachineNotice, ...]


@dataclass(frozen=True, slots=True)
class RelaysKnown(Event):
    """The addresses of all relays, this one's own included, as they are known now."""

    addresses: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class StopRequested(Event):
    """A planned stop: subscribers and agents are told to move at once."""


@dataclass(frozen=True, slots=True)
class RelayReady(Output):
    """The relay holds a configuration and serves subscribers."""
