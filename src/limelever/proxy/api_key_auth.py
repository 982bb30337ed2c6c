"""Authenticates callers by API key.

Keys are looked up by their SHA-256 digest, so that neither the table nor the timing of a lookup
reveals anything about them.
"""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers
from limelever.protocol.tenant_keys import digest_of, is_well_formed
from limelever.proxy.tenants import TenantEntry, TenantTable

_MISSING = Failure(ErrorKind.UNAUTHENTICATED, "the request has no API key")
_MULTIPLE = Failure(ErrorKind.UNAUTHENTICATED, "the request has more than one API key")
_MALFORMED = Failure(ErrorKind.UNAUTHENTICATED, "the API key is malformed")
_UNKNOWN = Failure(ErrorKind.UNAUTHENTICATED, "the API key is unknown")


class ApiKeyHeader(Struct, frozen=True):
    """The header that carries the API key, and the scheme in front of the key, both in lower case.

    With an empty scheme the whole header value is the key.
    """

    name: bytes = b"authorization"
    scheme: bytes = b"bearer"

    def extract_key(self, headers: Headers) -> bytes | Failure:
        """Return the API key in the headers, or ``UNAUTHENTICATED`` unless there is exactly one."""
        values = [value for name, value in headers if name == self.name]
        if not values:
            return _MISSING
        if len(values) > 1:
            return _MULTIPLE
        key = self._without_scheme(values[0].strip(b" \t"))
        return key if is_well_formed(key) else _MALFORMED

    def _without_scheme(self, value: bytes) -> bytes:
        """Return what follows the scheme, which is case-insensitive (RFC 9110, 11.1)."""
        if not self.scheme:
            return value
        scheme, _, key = value.partition(b" ")
        return key.lstrip(b" ") if scheme.lower() == self.scheme else b""


def authenticate(
    headers: Headers, header: ApiKeyHeader, tenants: TenantTable
) -> TenantEntry | Failure:
    """Return the tenant that the API key in the headers belongs to, or ``UNAUTHENTICATED``."""
    key = header.extract_key(headers)
    if isinstance(key, Failure):
        return key
    return tenants.by_digest.get(digest_of(key), _UNKNOWN)
