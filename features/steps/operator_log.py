"""A log of batches before one state machine."""

from operator_resources import key_message

from limelever.protocol.config_pb2 import Batch
from limelever.source.state import CURRENT_RULES

RECORD_LIMIT = 5


class Log:
    """Applies batches at rising log indices, with fresh request ids unless told otherwise."""

    def __init__(self, state):
        self.state, self.index, self.drawn = state, 10, 0

    def fresh_id(self):
        self.drawn += 1
        return f"request-{self.drawn}@{self.index}"

    def apply(self, put=(), delete=(), request_id=None, expected=None, rules=CURRENT_RULES):
        batch = Batch(put=put, delete=[key_message(text) for text in delete])
        batch.request_id = request_id or self.fresh_id()
        if expected is not None:
            batch.expected_version = expected
        self.index += 1
        self.outcome = self.state.apply(self.index, batch, rules)
        return self.outcome
