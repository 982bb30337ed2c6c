"""Which headers the agent sends to the back end."""

from __future__ import annotations

from limelever.common.http_headers import TIMEOUT_HEADER, Headers, end_to_end

_HOST = b"host"
_CONTENT_LENGTH = b"content-length"
_SET_BY_AGENT = frozenset({_CONTENT_LENGTH, TIMEOUT_HEADER, b"expect"})


def request_headers(
    headers: Headers, host: bytes, body: bytes, left_ms: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to the back end at ``host`` with a whole body.

    ``left_ms`` is how long the caller still waits: a back end that passes it on with its own
    calls keeps them from outliving the call they serve.
    """
    passed = end_to_end(headers)
    kept = [header for header in passed if header[0] not in _SET_BY_AGENT]
    if not any(name == _HOST for name, _ in kept):
        kept.append((_HOST, host))
    stated_length = any(name == _CONTENT_LENGTH for name, _ in passed)
    if body or stated_length:
        kept.append((_CONTENT_LENGTH, str(len(body)).encode()))
    kept.append((TIMEOUT_HEADER, str(left_ms).encode()))
    return kept
