"""A control machine that records what it does to its disk, and may lose power."""

from __future__ import annotations

import random
from pathlib import Path

from platform_machines import ControlMachine
from recorded_folder import RecordedFolder, lay_out_folders
from recorded_start import DATA_FOLDER, FULL_FILE, RECORD_FILE, SYNC_SECONDS

PROCESS_FAILED = "process-failed"
ALL_LOST, DRAWN = "all unsynced writes lost", "unsynced writes drawn"


class RecordedMachine(ControlMachine):
    """A control machine that records what it does to its disk."""

    recorded: RecordedFolder

    @property
    def data(self) -> Path:
        return self.folder / "data"

    @property
    def record(self) -> Path:
        return self.folder / "record"

    @property
    def full(self) -> Path:
        return self.folder / "full"

    def start_on_disk(self, sync_seconds: float) -> None:
        """Start on a disk that takes this long for a sync, with all that it holds synced."""
        self.data.mkdir(exist_ok=True)
        self.recorded = RecordedFolder(self.data)
        self.start_again(sync_seconds)

    def start_again(self, sync_seconds: float) -> None:
        """Start after the process has ended, with the power on."""
        self.record.write_bytes(b"")  # the process may be killed before it begins its own
        variables = {
            DATA_FOLDER: str(self.data),
            FULL_FILE: str(self.full),
            RECORD_FILE: str(self.record),
            SYNC_SECONDS: str(sync_seconds),
        }
        self.start_as(Path(__file__).with_name("recorded_start.py"), variables)

    def end(self) -> None:
        """Kill the process, and read its record."""
        self.kill()
        self.full.unlink(missing_ok=True)
        self.recorded.follow(self.record)

    def lose_power(self, draw: random.Random, left: str) -> int:
        """Leave on the disk what a loss of power may, and return how many writes were unsynced."""
        folder = self.recorded
        unsynced = folder.unsynced
        if left == ALL_LOST:
            for file in folder.files.values():
                file.pending.clear()
            folder.changes.clear()
        lay_out_folders(self.data, folder.images(draw))
        return len(unsynced)

    def failures(self) -> list[str]:
        """Return why the process has ended by itself, each time."""
        return [
            str(event["fields"].get("reason"))
            for event in self.events()
            if event.get("event") == PROCESS_FAILED
        ]
