"""Drawn writes to a data folder amid full disks, kills and losses of power."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from random import Random
from unittest import mock

from power_loss import FolderRecorder, lay_out
from power_loss_trial import Held, after, allowed_after, drawn_batch, held_by

from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import Output
from limelever.storage.folder import open_folder
from limelever.storage.folder_disk import FolderDisk

LOSS_RATE, FULL_RATE, KILL_RATE, ROOM_RATE, MARK_RATE = 0.06, 0.3, 0.25, 0.2, 0.3
CALLS = ("open", "pwrite", "ftruncate", "fsync", "rename", "unlink")


class KilledError(BaseException):
    """Ends the process at one of its calls; no handler of errors may take it."""


class FullDiskRecorder(FolderRecorder):
    """Refuses a part of the calls that need room, as a full disk does."""

    def __init__(self, folder: Path, random: Random) -> None:
        super().__init__(folder)
        self.random = random
        self.full_rate = 0.0

    def _refuse_if_full(self) -> None:
        if self.random.random() < self.full_rate:
            raise OSError(errno.ENOSPC, "No space left on device")

    def _pwrite(self, real, descriptor, data, offset):
        data = bytes(data)
        if self.random.random() < self.full_rate and len(data) > 1:
            data = data[: self.random.randrange(1, len(data))]
        else:
            self._refuse_if_full()
        return super()._pwrite(real, descriptor, data, offset)

    def _open(self, real, path, flags, mode=0o777, **options):
        if str(path).endswith(".tmp"):
            self._refuse_if_full()
        return super()._open(real, path, flags, mode, **options)

    def _rename(self, real, source, target):
        self._refuse_if_full()
        return super()._rename(real, source, target)

    def _ftruncate(self, real, descriptor, size):
        self._refuse_if_full()
        return super()._ftruncate(real, descriptor, size)


class DiskTrial:
    """Writes to one folder; ``faults`` are states that lost something or were refused."""

    def __init__(self, scratch: Path, seed: int) -> None:
        self.folder, self.left = scratch / "data", scratch / "left"
        self.random = Random(seed)
        self.acknowledged: Held = ((), ())
        self.allowed = {self.acknowledged}
        self.faults: list[object] = []
        self._real = {name: getattr(os, name) for name in CALLS}
        self._calls = 0
        self._killed_at = 0
        _opened(self.folder).close()
        self._recorder = FullDiskRecorder(self.folder, Random(seed + 1))
        self._recorder.on_change = self._check

    def run(self) -> list[object]:
        """Write drawn batches; return the faults."""
        with self._recorder.recording():
            disk = _opened(self.folder)
            for number in range(self.random.randrange(3, 14)):
                disk = self._write(disk, drawn_batch(self.random, self.acknowledged, number))
                if self.faults:
                    break
        return self.faults

    def _write(self, disk: FolderDisk, batch: list[Output]) -> FolderDisk:
        self._recorder.full_rate = self.random.choice((0.0, 0.0, FULL_RATE))
        self._allow(batch)
        is_killed = self.random.random() < KILL_RATE
        self._killed_at = self._calls + self.random.randrange(1, 12) if is_killed else 0
        try:
            self._carry_out(disk, batch)
            if self.random.random() < MARK_RATE:
                disk.mark_synced()
        except KilledError:
            return self._restarted(disk)
        return disk

    def _carry_out(self, disk: FolderDisk, batch: list[Output]) -> None:
        """Write a batch, again and again while the disk is full."""
        while batch:
            failure = disk.perform(batch)
            assert failure is None or failure.kind is ErrorKind.DISK_FULL, failure
            done = len(batch) if failure is None else disk.carried_out
            for write in batch[:done]:
                self.acknowledged = after(self.acknowledged, write)
            batch = batch[done:]
            self._allow(batch)
            if self.random.random() < ROOM_RATE:
                self._recorder.full_rate = 0.0

    def _allow(self, batch: list[Output]) -> None:
        self.allowed = allowed_after(self.acknowledged, batch) | {self.acknowledged}

    def _restarted(self, disk: FolderDisk) -> FolderDisk:
        self._killed_at, self._recorder.full_rate = 0, 0.0
        with mock.patch.object(disk, "mark_synced"):
            disk.close()
        disk = _opened(self.folder)
        if held_by(disk) not in self.allowed:
            self.faults.append(("after a kill", held_by(disk)))
        self.acknowledged = held_by(disk)
        self.allowed = {self.acknowledged}
        return disk

    def _check(self) -> None:
        self._calls += 1
        if self.random.random() < LOSS_RATE:
            self._lose_power()
        if self._killed_at and self._calls >= self._killed_at:
            raise KilledError

    def _lose_power(self) -> None:
        """Check a state that a loss of power may leave now, apart from what is recorded."""
        image = self._recorder.images(self.random)
        with mock.patch.multiple(os, **{**self._real, "fsync": lambda _descriptor: None}):
            lay_out(self.left, image, self.folder)
            disk = open_folder(self.left)
            if isinstance(disk, Failure):
                self.faults.append(disk.reason)
                return
            disk.close()
        if held_by(disk) not in self.allowed:
            self.faults.append(("after a loss of power", held_by(disk)))


def _opened(folder: Path) -> FolderDisk:
    disk = open_folder(folder)
    assert isinstance(disk, FolderDisk), disk
    return disk
