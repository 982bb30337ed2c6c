"""One replica's place in a group of source cores, and the batches that tests write."""

from __future__ import annotations

from collections.abc import Callable

from limelever.protocol.config_pb2 import Batch, Resource, Service
from limelever.protocol.feature_level import CURRENT_LEVEL
from limelever.protocol.operators_pb2 import ApplyRequest
from limelever.source.core import SourceCore
from limelever.storage.memory import MemoryDisk


class RecordingCore(SourceCore):
    """Notes each entry in the group's ledger as it is applied."""

    note_applied: Callable = staticmethod(lambda entry: None)

    def apply(self, entry):
        self.note_applied(entry)
        super().apply(entry)


class Node:
    """One replica's place: its disk outlives its lives."""

    def __init__(self, name):
        self.name = name
        self.disk = MemoryDisk()
        self.core = None
        self.life = 0
        self.links = {}
        self.accepted = -1
        self.writing = []
        self.queued = []
        self.hung = False
        self.frozen = None
        self.level = CURRENT_LEVEL


def service_batch(request, service, expected=None):
    batch = Batch(request_id=f"{request}-request@0")
    batch.put.append(Resource(service=Service(name=service)))
    if expected is not None:
        batch.expected_version = expected
    return ApplyRequest(batch=batch)
