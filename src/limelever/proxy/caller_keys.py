"""Reads the key that a caller shows, and tells whose it is.

A key is known by its SHA-256 alone: it is looked up by that, so that neither a table nor the time
of a look tells anything of it.
"""

from __future__ import annotations

from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import Headers
from limelever.protocol.tenant_keys import digest_of, is_well_formed
from limelever.proxy.tenants import TenantEntry, TenantTable

_MISSING = Failure(ErrorKind.UNAUTHENTICATED, "the call shows no key")
_SEVERAL = Failure(ErrorKind.UNAUTHENTICATED, "the call shows more than one key")
_MALFORMED = Failure(ErrorKind.UNAUTHENTICATED, "the call's key is not well formed")
_UNKNOWN = Failure(ErrorKind.UNAUTHENTICATED, "the call's key is no tenant's")


class KeyHeader(Struct, frozen=True):
    """Where callers show their key: a header's name and a scheme before the key, in lower case.

    Without a scheme the header's whole value is the key.
    """

    name: bytes = b"authorization"
    scheme: bytes = b"bearer"

    def key_in(self, headers: Headers) -> bytes | Failure:
        """Return the one key in a call's headers, or ``UNAUTHENTICATED``."""
        values = [value for name, value in headers if name == self.name]
        if not values:
            return _MISSING
        if len(values) > 1:
            return _SEVERAL
        key = self._without_scheme(values[0].strip(b" \t"))
        return key if is_well_formed(key) else _MALFORMED

    def _without_scheme(self, value: bytes) -> bytes:
        """Return what stands behind the scheme, whose case doesn't matter (RFC 9110, 11.1)."""
        if not self.scheme:
            return value
        scheme, _, key = value.partition(b" ")
        return key.lstrip(b" ") if scheme.lower() == self.scheme else b""


def tenant_of(headers: Headers, header: KeyHeader, tenants: TenantTable) -> TenantEntry | Failure:
    """Return the tenant whose key a call shows, or ``UNAUTHENTICATED``."""
    key = header.key_in(headers)
    if isinstance(key, Failure):
        return key
    return tenants.by_digest.get(digest_of(key), _UNKNOWN)
