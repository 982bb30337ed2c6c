"""Builds HTTP/1.1 requests to the back end and their headers."""

from __future__ import annotations

from limelever.agent.interface import StartAttempt
from limelever.common.http_headers import HeaderNames, end_to_end

_HOST = b"host"
_CONTENT_LENGTH = b"content-length"
_SET_BY_AGENT = frozenset({_CONTENT_LENGTH, b"expect"})


def request_headers(
    request: StartAttempt,
    host: bytes,
    remaining_ms: int,
    names: HeaderNames,
    instance: bytes,
    body_bytes: int = 0,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request with a complete body to the back end at ``host``.

    ``body_bytes`` is the size of the body. ``instance`` is the name of the target instance, empty
    if unknown. ``remaining_ms`` is how long
    the caller still waits; a back end can pass it on to limit its own calls. The tenant header is
    added here, as the tenant is a field of its own between proxy and agent.
    """
    forwarded = end_to_end(request.headers)
    replaced = _SET_BY_AGENT | {names.timeout, names.target_instance, names.tenant}
    headers = [header for header in forwarded if header[0] not in replaced]
    if not any(name == _HOST for name, _ in headers):
        headers.append((_HOST, host))
    stated_length = any(name == _CONTENT_LENGTH for name, _ in forwarded)
    if body_bytes or stated_length:
        headers.append((_CONTENT_LENGTH, str(body_bytes).encode()))
    if names.target_instance and instance:
        headers.append((names.target_instance, instance))
    if names.tenant and request.tenant:
        headers.append((names.tenant, request.tenant.encode()))
    headers.append((names.timeout, str(remaining_ms).encode()))
    return headers


def encode_request_head(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the encoded head of a request; ``headers`` must include the length of the body."""
    parts = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    parts += [b"%b: %b\r\n" % header for header in headers]
    return b"".join((*parts, b"\r\n"))
