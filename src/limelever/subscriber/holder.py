"""State of the subscriber: the floor on disk, accepted versions and the version in force.

A version is accepted when it is valid, not below the floor and, without a known floor, proved
current. Its number is then written to the floor file, and the version comes into force only once
that write is synced, so that no lower version is accepted after a restart.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import LogEvent, Output, Recovered, ReplaceFile
from limelever.protocol.config_pb2 import VersionedResource
from limelever.protocol.distribution_pb2 import ConfigDelta, ConfigSnapshot
from limelever.protocol.keys import Key
from limelever.subscriber import events
from limelever.subscriber.floor_file import FLOOR_FILE, decode_floor, encode_floor
from limelever.subscriber.held import (
    NOTHING_HELD,
    HeldSet,
    from_delta,
    from_snapshot,
    touched_keys,
)
from limelever.subscriber.notices import ConfigurationInstalled, VersionConfirmed
from limelever.subscriber.sealing import Sealer
from limelever.subscriber.snapshot_file import SNAPSHOT_FILE, decode_snapshot


class AwaitingFloor(Struct, frozen=True):
    """An accepted set that comes into force once the write of its floor is synced."""

    token: int
    held: HeldSet


class Holder:
    """Keeps the sets of one subscriber, independent of links and time."""

    def __init__(self, tokens: Iterator[int], recovered: Recovered, sealer: Sealer | None) -> None:
        self._tokens = tokens
        floor = decode_floor(recovered.files.get(FLOOR_FILE))
        self.floor_known = floor is not None
        self.floor = floor or 0
        self._synced_floor = self.floor
        self._trouble: Failure | None = None
        self._settled = self._recover(recovered.files.get(SNAPSHOT_FILE), sealer)
        self._accepted = False
        self.latest = self._settled
        self.in_force: HeldSet | None = None
        self._awaiting: deque[AwaitingFloor] = deque()
        self._touched: dict[Key, None] | None = None

    @property
    def awaits_floor(self) -> bool:
        """Whether an accepted set waits for its floor to be synced."""
        return bool(self._awaiting)

    @property
    def version(self) -> int:
        """The version at which the set in force is known to be valid; 0 for none."""
        return self.in_force.version if self.in_force is not None else 0

    def start(self) -> list[Output]:
        """Install the set found on disk if that is safe."""
        outputs: list[Output] = []
        if not self.floor_known:
            outputs.append(LogEvent(events.FLOOR_MISSING))
        if self._trouble is not None:
            fields: dict[str, object] = {"reason": str(self._trouble)}
            outputs.append(LogEvent(events.SNAPSHOT_UNUSABLE, fields))
        return [*outputs, *self.settle(None)]

    def take_delta(self, delta: ConfigDelta) -> Failure | None:
        """Apply a delta to the latest set; a failure changes nothing."""
        refusal = self._refuse_lower(delta.to_version)
        failure = refusal or self._take(from_delta(self.latest, delta))
        if failure is None and self._touched is not None:
            self._touched.update(touched_keys(delta))
        return failure

    def take_snapshot(self, snapshot: ConfigSnapshot) -> Failure | None:
        """Replace the latest set with that of a snapshot; a failure changes nothing."""
        refusal = self._refuse_lower(snapshot.version)
        failure = refusal or self._take(from_snapshot(snapshot))
        if failure is None:
            self._touched = None
        return failure

    def confirm(self, version: int) -> None:
        """Record that the latest set is also valid at ``version``.

        The floor on disk is raised too: a set may be equal at two versions and differ between
        them, so that a restart with the lower floor could bring removed resources back.
        """
        if version > self.latest.version:
            self.latest = self.latest.at(version)
            self._accepted = False

    def settle(self, proved_version: int | None) -> list[Output]:
        """Accept the latest set if the floor or a proof allows it.

        ``proved_version`` is a version that the publisher held when it was proved current
        after the link opened, or ``None``. It replaces an unknown floor.
        """
        if self._accepted or not self._acceptable(proved_version):
            return []
        return self._accept()

    def write_completed(self, token: int) -> list[Output]:
        """Install the last accepted set whose floor is synced by this write."""
        ready: HeldSet | None = None
        while self._awaiting and self._awaiting[0].token <= token:
            ready = self._awaiting.popleft().held
        if ready is None:
            return []
        self._synced_floor = ready.version
        return self._install(ready)

    def forget_unaccepted(self) -> None:
        """Revert to the last settled set unless the latest is accepted, as its link has closed."""
        if not self._accepted:
            self.latest = self._settled

    def _recover(self, content: bytes | None, sealer: Sealer | None) -> HeldSet:
        if content is None or sealer is None:
            return NOTHING_HELD
        held = decode_snapshot(content, sealer)
        if isinstance(held, Failure):
            self._trouble = held
            return NOTHING_HELD
        return held

    def _refuse_lower(self, version: int) -> Failure | None:
        lowest = max(self.floor, self.latest.version)
        if version >= lowest:
            return None
        reason = f"version {version} is below {lowest}, which was held"
        return Failure(ErrorKind.VERSION_TOO_OLD, reason, current_version=lowest)

    def _take(self, built: HeldSet | Failure) -> Failure | None:
        if isinstance(built, Failure):
            return built
        self.latest = built
        self._accepted = False
        return None

    def _acceptable(self, proved_version: int | None) -> bool:
        if self.latest.version == 0 or self.latest.version < self.floor:
            return False
        if self.floor_known:
            return True
        return proved_version is not None and proved_version <= self.latest.version

    def _accept(self) -> list[Output]:
        self._accepted = True
        self._settled = self.latest
        self.floor_known = True
        self.floor = self.latest.version
        if self.floor <= self._synced_floor:
            return self._install(self.latest)
        token = next(self._tokens)
        self._awaiting.append(AwaitingFloor(token, self.latest))
        return [ReplaceFile(token, FLOOR_FILE, encode_floor(self.floor))]

    def _install(self, held: HeldSet) -> list[Output]:
        former, self.in_force = self.in_force, held
        if former is not None and former.configuration is held.configuration:
            return [VersionConfirmed(held.version)]
        before = former.configuration.resources if former is not None else {}
        current = held.configuration.resources
        touched = self._take_touched(held, before)
        installed = ConfigurationInstalled(
            version=held.version,
            configuration=held.configuration,
            put=tuple(
                current[key]
                for key in touched
                if key in current and before.get(key) is not current[key]
            ),
            removed=tuple(key for key in touched if key in before and key not in current),
        )
        fields: dict[str, object] = {"version": held.version, "resources": len(current)}
        return [installed, LogEvent(events.CONFIGURATION_INSTALLED, fields)]

    def _take_touched(
        self, held: HeldSet, before: Mapping[Key, VersionedResource]
    ) -> Iterable[Key]:
        """Return every key in which ``held`` may differ from the set in force until now.

        Later deltas than ``held`` may have been applied already, or discarded since: the keys
        are cleared only when the latest set comes into force, so that none is missed.
        """
        touched = self._touched
        if held.configuration is self.latest.configuration:
            self._touched = {}
        if touched is not None:
            return tuple(touched)
        return {**before, **held.configuration.resources}
