"""A blocking HTTP/2 client on one connection."""

from __future__ import annotations

import contextlib
import socket

import h2.config
import h2.connection
import h2.events
from h2.settings import SettingCodes
from http_server import HttpClient
from hyperframe.frame import DataFrame

CANCEL = 8
FRAME_BYTES = 1 << 14
NO_STATUS = 0


class Http2Caller:
    """One connection over HTTP/2."""

    def __init__(self, address) -> None:
        self._client = HttpClient(address)
        self._client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        config = h2.config.H2Configuration(validate_outbound_headers=False)
        self._protocol = h2.connection.H2Connection(config)
        self._protocol.initiate_connection()
        self.statuses: dict[int, int] = {}
        self.resets: dict[int, int] = {}
        self._ended: set[int] = set()

    def close(self) -> None:
        self._client.close()

    def send(self, path: str, body: bytes = b"") -> int:
        """Send a request; return its stream."""
        stream = self._protocol.get_next_available_stream_id()
        fields = {":method": "GET", ":path": path, ":scheme": "http", ":authority": "a"}
        self._protocol.send_headers(stream, list(fields.items()), end_stream=not body)
        if body:
            self._protocol.send_data(stream, body, end_stream=True)
        self._flush()
        return stream

    def connect(self, *fields: tuple[str, str], end_stream: bool = True) -> int:
        """Ask for a tunnel; return the stream."""
        stream = self._protocol.get_next_available_stream_id()
        names = {":method": "CONNECT", ":path": "/", ":scheme": "http", ":authority": "a"}
        self._protocol.send_headers(stream, [*names.items(), *fields], end_stream=end_stream)
        self._flush()
        return stream

    def begin_upload(self, size: int) -> int:
        """Send a part of a body that does not end, as windows allow; return the stream."""
        stream = self._protocol.get_next_available_stream_id()
        fields = {":method": "POST", ":path": "/", ":scheme": "http", ":authority": "a"}
        self._protocol.send_headers(stream, list(fields.items()))
        self._flush()
        while size and stream not in self.statuses:
            part = min(size, self._protocol.local_flow_control_window(stream), FRAME_BYTES)
            if part:
                self._protocol.send_data(stream, bytes(part))
                self._flush()
                size -= part
            elif not self._receive():
                break
        return stream

    def open_windows(self, size: int) -> None:
        """Let the server send so many bytes of responses unread."""
        self._protocol.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: size})
        self._protocol.increment_flow_control_window(size)
        self._flush()

    def announce(self, size: int) -> int:
        """Send the head of a request with a body of this size; return the stream."""
        stream = self._protocol.get_next_available_stream_id()
        fields = {":method": "POST", ":path": "/", ":scheme": "http", ":authority": "a"}
        self._protocol.send_headers(stream, [*fields.items(), ("content-length", str(size))])
        self._flush()
        return stream

    def send_body(self, stream: int, size: int) -> None:
        """Send a part of a body that does not end, as windows allow."""
        while size:
            part = min(size, self._protocol.local_flow_control_window(stream), FRAME_BYTES)
            if part:
                self._protocol.send_data(stream, bytes(part))
                self._flush()
                size -= part
            else:
                assert self._receive(), "the server closed"

    def send_in_frames(self, path: str, count: int) -> int:
        """Send a request whose body has so many frames, all at once; return the stream."""
        stream = self._protocol.get_next_available_stream_id()
        fields = {":method": "POST", ":path": path, ":scheme": "http", ":authority": "a"}
        self._protocol.send_headers(stream, list(fields.items()))
        for number in range(1, count + 1):
            self._protocol.send_data(stream, b"part", end_stream=number == count)
        self._flush()
        return stream

    def send_after_end(self, stream: int) -> None:
        """Send data on a stream that this side has ended."""
        self._client.send(DataFrame(stream, b"late").serialize())

    def reset_code(self, stream: int) -> int:
        """Read until the server resets a stream; return the error code."""
        while stream not in self.resets:
            assert self._receive(), "the server closed"
        return self.resets[stream]

    def reset(self, stream: int) -> None:
        self._protocol.reset_stream(stream, CANCEL)
        self._flush()

    def status(self, stream: int) -> int:
        """Read until a response has ended; return its status, 0 if the edge closed before."""
        while stream not in self._ended:
            if not self._receive():
                return NO_STATUS
        return self.statuses[stream]

    def is_open(self) -> bool:
        """Return whether the edge answers a request, rather than having closed."""
        with contextlib.suppress(OSError):
            return self.status(self.send("/")) != NO_STATUS
        return False

    def _receive(self) -> bool:
        """Handle what the edge sent; return whether the connection goes on."""
        data = self._client.socket.recv(65536)
        for event in self._protocol.receive_data(data):
            self._note(event)
        self._flush()
        return bool(data)

    def _note(self, event) -> None:
        if isinstance(event, h2.events.ResponseReceived):
            self.statuses[event.stream_id] = int(dict(event.headers)[b":status"])
        elif isinstance(event, h2.events.StreamEnded):
            self._ended.add(event.stream_id)
        elif isinstance(event, h2.events.StreamReset):
            self.resets[event.stream_id] = event.error_code

    def _flush(self) -> None:
        self._client.send(self._protocol.data_to_send())
