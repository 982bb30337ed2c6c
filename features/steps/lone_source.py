"""A source that is a group of one, on a data folder; runs with the code of earlier builds too."""

from __future__ import annotations

from pathlib import Path
from random import Random

from limelever.common.errors import Failure
from limelever.common.sansio import DeadlineReached, Started, WriteCompleted
from limelever.publisher.settings import PublisherSettings
from limelever.source.at_rest import SecretSealer
from limelever.source.core import SourceCore
from limelever.source.messages import OperatorAnswer, OperatorRequest
from limelever.source.replication.settings import ReplicationSettings
from limelever.storage.disk import DISK_WRITES
from limelever.storage.folder import open_folder

SNAPSHOT_EVERY = 4
STEP_SECONDS = 0.05


class LoneSource:
    """Carries out a core's writes at once, and lets time pass until it leads."""

    def __init__(self, folder: Path, snapshot_every: int = SNAPSHOT_EVERY) -> None:
        disk = open_folder(folder)
        assert not isinstance(disk, Failure), disk
        self.disk = disk
        self.now = 0.0
        self.answers = {}
        settings = ReplicationSettings("a", {}, bootstrap=True, snapshot_every=snapshot_every)
        sealer = SecretSealer([bytes(32)])
        self.core = SourceCore.open(
            settings, PublisherSettings(), disk.recovered, Random(1), sealer
        )

    @property
    def refusal(self) -> Failure | None:
        """Return why the folder can't be used, or ``None``."""
        return self.core if isinstance(self.core, Failure) else None

    def start(self) -> None:
        self.tell(Started())
        while not self.core.replica.leading:
            self.now += STEP_SECONDS
            self.tell(DeadlineReached())
        self.pass_time()

    def pass_time(self) -> None:
        """Let the leader do what is due within a second."""
        for _ in range(20):
            self.now += STEP_SECONDS
            self.tell(DeadlineReached())

    def tell(self, event) -> None:
        outputs = self.core.handle(event, self.now)
        while outputs:
            assert self.disk.perform(outputs) is None
            for output in outputs:
                if isinstance(output, OperatorAnswer):
                    self.answers[output.token] = output.answer
            tokens = [output.token for output in outputs if isinstance(output, DISK_WRITES)]
            outputs = [
                output
                for token in tokens
                for output in self.core.handle(WriteCompleted(token), self.now)
            ]

    def ask(self, request):
        token = len(self.answers) + 1
        self.tell(OperatorRequest(token, request))
        return self.answers[token]

    def close(self) -> None:
        self.disk.close()
