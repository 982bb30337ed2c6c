"""What receives the parsed requests of a connection."""

from __future__ import annotations

from typing import Protocol

from limelever.common.errors import Failure
from limelever.common.http_messages import HttpRequest


class RequestSink(Protocol):
    """Receives what the reader has parsed; a returned failure ends the parsing."""

    def head_read(self, request: HttpRequest, awaits_continue: bool) -> Failure | None:
        """Handle a request's head; ``awaits_continue`` if the client expects 100 Continue."""

    def body_read(self, size: int) -> Failure | None:
        """Count ``size`` more bytes of the body."""

    def request_read(self, request: HttpRequest) -> None:
        """Handle a complete request."""

    def refused(self, failure: Failure) -> None:
        """Handle the reason why the current request cannot be parsed."""
