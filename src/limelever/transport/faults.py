"""Internal faults: an exception that is nobody's answer becomes an event and a failure."""

from __future__ import annotations

import traceback

from limelever.common.errors import ErrorKind, Failure
from limelever.transport.events import INTERNAL_FAULT
from limelever.transport.log import write_event

TRACEBACK_LINES = 12
_LONGEST_ERROR = 500


def report_fault(error: BaseException) -> Failure:
    """Write the numbered event of a fault with its traceback's last lines; return the failure."""
    fields = fault_fields(error)
    write_event(INTERNAL_FAULT, fields)
    return Failure(ErrorKind.INTERNAL, str(fields["error"]))


def fault_fields(error: BaseException) -> dict[str, object]:
    """Return the fields of a fault's event: the error, and its traceback's last lines."""
    text = f"{type(error).__name__}: {error}"[:_LONGEST_ERROR]
    lines = "".join(traceback.format_exception(error)).splitlines()
    return {"error": text, "traceback": lines[-TRACEBACK_LINES:]}
