"""Why an agent ends a call without the back end's answer; each says whether the call has run."""

from __future__ import annotations

from limelever.common.errors import ErrorKind, Failure

LEAVING = Failure(ErrorKind.DRAINING, "the back end is leaving")
CUT_OFF = Failure(ErrorKind.BACKEND_FAILED, "cut off at the drain limit")
CANCELLED = Failure(ErrorKind.CANCELLED, "cancelled while it ran")
GIVEN_UP = Failure(ErrorKind.DEADLINE_TOO_SHORT, "given up before it was run")
CRASHED = Failure(ErrorKind.BACKEND_CRASHED, "the back end's process has ended")
SILENT = Failure(ErrorKind.CONNECTION_FAILED, "the back end does not answer")
FELL_SILENT = Failure(ErrorKind.BACKEND_FAILED, "the back end fell silent while the call ran")
TOO_LATE = Failure(ErrorKind.DEADLINE_TOO_SHORT, "too late to finish in time")
