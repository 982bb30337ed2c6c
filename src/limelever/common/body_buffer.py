"""A body that arrives in parts and is held once."""

from __future__ import annotations

import io


class BodyBuffer:
    """Collects the parts of a body; :meth:`take` returns it without a copy.

    Joining a list of parts, or converting a ``bytearray``, would hold the body twice for a moment.
    """

    __slots__ = ("_first", "_stream", "size")

    def __init__(self, part: bytes = b"") -> None:
        self.size = len(part)
        self._first = part
        self._stream: io.BytesIO | None = None

    def __len__(self) -> int:
        return self.size

    def append(self, part: bytes) -> None:
        """Add a part at the end."""
        if not self.size:
            self._first = part
        else:
            if self._stream is None:
                self._stream = io.BytesIO(self._first)
                self._stream.seek(self.size)
                self._first = b""
            self._stream.write(part)
        self.size += len(part)

    def take(self) -> bytes:
        """Return the body, and leave the buffer empty."""
        body = self._first if self._stream is None else self._stream.getvalue()
        self.clear()
        return body

    def clear(self) -> None:
        """Release the body."""
        self.size = 0
        self._first = b""
        self._stream = None
