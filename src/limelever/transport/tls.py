"""TLS contexts from settings: mutual TLS on every link when it is enabled."""

from __future__ import annotations

import ssl

from limelever.common.errors import ErrorKind, Failure
from limelever.common.settings import TlsSettings


def server_context(settings: TlsSettings) -> ssl.SSLContext | None | Failure:
    """Return the context of listeners for links, ``None`` for cleartext."""
    return _context(settings, ssl.Purpose.CLIENT_AUTH)


def client_context(settings: TlsSettings) -> ssl.SSLContext | None | Failure:
    """Return the context of dialled links, ``None`` for cleartext."""
    return _context(settings, ssl.Purpose.SERVER_AUTH)


def _context(settings: TlsSettings, purpose: ssl.Purpose) -> ssl.SSLContext | None | Failure:
    if not settings.enabled:
        return None
    try:
        context = ssl.create_default_context(purpose, cafile=settings.authority)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_cert_chain(settings.certificate, settings.key)
    except (OSError, ssl.SSLError) as error:
        return Failure(ErrorKind.INVALID_SETTINGS, f"tls: {error}")
    context.verify_mode = ssl.CERT_REQUIRED
    return context
