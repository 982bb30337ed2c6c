"""Names of the HTTP headers that the mesh uses, and the one list of hop-by-hop headers."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

Headers = tuple[tuple[bytes, bytes], ...]

CONNECTION = b"connection"
TIMEOUT_HEADER = b"x-limelever-timeout-ms"
"""How long the sender waits; from callers to proxies, and from agents to back ends."""


class HeaderNames(Struct, frozen=True):
    """Names of the headers that the mesh reads and sets, in lower case; empty if not used.

    Requests:

    - ``timeout``: how long the sender waits, in milliseconds.
    - ``request_id``: identifies one attempt of a caller. With ``answers_repeat_id`` a response
      without the request's own identifier does not belong to it.
    - ``caller_service``, set by the mesh: the service beside the proxy that received the request.
    - ``target_instance``, set by the mesh: the instance meant; any other refuses the request.
    - ``authorization``: the caller's API key, after the word ``key_scheme`` if there is one.
    - ``tenant``, set by the mesh: the tenant that holds the key.

    Responses of a back end:

    - ``not_run``: the request was not run.
    - ``instance``: the back end's identifier, in responses to health probes.
    - ``load``: running calls, waiting calls and slots, separated by commas.
    - ``warm_up``: the remaining warm-up time in milliseconds.
    - ``limit``, any of these: the calls per second that the back end takes from all proxies.
    - ``leaving``, any of these: 1 if the back end is about to end and takes no new calls.
    """

    timeout: bytes = TIMEOUT_HEADER
    request_id: bytes = b"x-request-id"
    caller_service: bytes = b""
    target_instance: bytes = b""
    not_run: bytes = b""
    instance: bytes = b""
    load: bytes = b""
    warm_up: bytes = b""
    limit: tuple[bytes, ...] = ()
    leaving: tuple[bytes, ...] = ()
    answers_repeat_id: bool = False
    tenant: bytes = b""
    authorization: bytes = b"authorization"
    key_scheme: bytes = b"bearer"

    @property
    def set_by_mesh(self) -> frozenset[bytes]:
        """Return the names that no caller may set for a back end."""
        names = (self.timeout, self.caller_service, self.target_instance, self.tenant)
        return frozenset(name for name in names if name)


HEADER_OVERHEAD = 4
"""Bytes of a header line besides name and value: colon, space and line end."""


def headers_size(headers: Headers) -> int:
    """Return the size of the headers in bytes, as HTTP/1.1 encodes them."""
    return sum(len(name) + len(value) + HEADER_OVERHEAD for name, value in headers)


def value_of(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a header; empty if it is absent or the name is empty."""
    for known, value in headers:
        if known == name:
            return value
    return b""


HOP_BY_HOP = frozenset(
    {
        CONNECTION,
        b"http2-settings",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers of a single HTTP connection (RFC 9110, section 7.6.1, and RFC 7540, section 3.2.1)."""


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers, names in lower case, without those of a single connection.

    These are the hop-by-hop headers and those that ``Connection`` names.
    """
    lowered = [(name.lower(), value) for name, value in headers]
    dropped = HOP_BY_HOP
    if any([name == CONNECTION for name, _ in lowered]):
        dropped = dropped | _named_by_connection(lowered)
    return tuple([header for header in lowered if header[0] not in dropped])


def _named_by_connection(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    return frozenset(
        name.strip().lower()
        for header, value in headers
        if header == CONNECTION
        for name in value.split(b",")
    )
