"""Which headers the agent sends to the back end."""

from __future__ import annotations

from limelever.agent.interface import StartAttempt
from limelever.common.http_headers import HeaderNames, end_to_end

_HOST = b"host"
_CONTENT_LENGTH = b"content-length"
_SET_BY_AGENT = frozenset({_CONTENT_LENGTH, b"expect"})


def request_headers(
    request: StartAttempt, host: bytes, left_ms: int, names: HeaderNames, instance: bytes
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to the back end at ``host`` with a whole body.

    ``instance`` is the one that is meant, where the back end knows itself by a name. ``left_ms``
    is how long the caller still waits: a back end that passes it on with its own calls keeps them
    from outliving the call they serve. The tenant is named here alone, so that its name travels
    once between proxy and agent.
    """
    passed = end_to_end(request.headers)
    body = request.body
    replaced = _SET_BY_AGENT | {names.timeout, names.target_instance, names.tenant}
    kept = [header for header in passed if header[0] not in replaced]
    if not any(name == _HOST for name, _ in kept):
        kept.append((_HOST, host))
    stated_length = any(name == _CONTENT_LENGTH for name, _ in passed)
    if body or stated_length:
        kept.append((_CONTENT_LENGTH, str(len(body)).encode()))
    if names.target_instance and instance:
        kept.append((names.target_instance, instance))
    if names.tenant and request.tenant:
        kept.append((names.tenant, request.tenant.encode()))
    kept.append((names.timeout, str(left_ms).encode()))
    return kept


def encode_request(
    method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Return a request's bytes; ``headers`` state the length of its body."""
    parts = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    parts += [b"%b: %b\r\n" % header for header in headers]
    parts += [b"\r\n", body]
    return b"".join(parts)
