"""TLS contexts: mutual TLS on every link, the server's side alone for operators and callers.

Certificates are renewed without a restart: the files are watched, and new connections use what
they hold. Connections that stand keep what they were opened with.
"""

from __future__ import annotations

import os
import ssl
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import trio
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.settings import TlsSettings
from limelever.transport.events import CERTIFICATE_LOADED, CERTIFICATE_REFUSED
from limelever.transport.log import write_event

RENEWAL_POLL_SECONDS = 10.0
"""How often the files are looked at: a renewed certificate is in use this much later at most."""

Stamp = tuple[tuple[int, int], ...]


class CertificateFiles(Struct, frozen=True):
    """A certificate chain and its private key, as PEM files."""

    certificate: str
    key: str

    def load_into(self, context: ssl.SSLContext) -> Failure | None:
        """Give a context the chain and the key, or say which of the files is at fault."""
        try:
            context.load_cert_chain(self.certificate, self.key)
        except OSError as error:
            names = f"{self.certificate}, {self.key}"
            return Failure(ErrorKind.INVALID_SETTINGS, f"tls: {names}: {_reason(error)}")
        return None

    def stamp(self) -> Stamp | None:
        """Return what changes when a file is replaced, ``None`` when one cannot be read."""
        try:
            found = [os.stat(path) for path in (self.certificate, self.key)]
        except OSError:
            return None
        return tuple((entry.st_mtime_ns, entry.st_ino) for entry in found)


def files_of(settings: TlsSettings) -> CertificateFiles:
    """Return the certificate files of a process's settings."""
    return CertificateFiles(settings.certificate, settings.key)


def server_context(settings: TlsSettings) -> ssl.SSLContext | None | Failure:
    """Return the context of listeners for links, ``None`` for cleartext."""
    return _link_context(settings, ssl.Purpose.CLIENT_AUTH)


def client_context(settings: TlsSettings) -> ssl.SSLContext | None | Failure:
    """Return the context of dialled links, ``None`` for cleartext."""
    return _link_context(settings, ssl.Purpose.SERVER_AUTH)


def one_sided_context(
    files: CertificateFiles, protocols: Sequence[str]
) -> ssl.SSLContext | None | Failure:
    """Return the context of an HTTP listener, ``None`` for cleartext.

    Operators and callers show no certificate: none is asked of them. ``protocols`` are those
    of HTTP that the listener speaks, the preferred first.
    """
    if not files.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(list(protocols))
    return files.load_into(context) or context


def _link_context(settings: TlsSettings, purpose: ssl.Purpose) -> ssl.SSLContext | None | Failure:
    if not settings.enabled:
        return None
    try:
        context = ssl.create_default_context(purpose, cafile=settings.authority)
    except OSError as error:
        reason = f"tls.authority: {settings.authority}: {_reason(error)}"
        return Failure(ErrorKind.INVALID_SETTINGS, reason)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    return files_of(settings).load_into(context) or context


def _reason(error: OSError) -> str:
    if isinstance(error, ssl.SSLError):
        return error.reason or str(error)
    return error.strerror or str(error)


@asynccontextmanager
async def certificate_kept_current(
    contexts: Sequence[ssl.SSLContext], files: CertificateFiles, poll: float = RENEWAL_POLL_SECONDS
) -> AsyncIterator[None]:
    """Load renewed files into the contexts as long as the block runs; ``poll`` is in seconds."""
    async with trio.open_nursery() as nursery:
        if contexts:
            nursery.start_soon(_watch, contexts, files, files.stamp(), poll)
        yield
        nursery.cancel_scope.cancel()


async def _watch(
    contexts: Sequence[ssl.SSLContext], files: CertificateFiles, seen: Stamp | None, poll: float
) -> None:
    while True:
        await trio.sleep(poll)
        stamp = files.stamp()
        if stamp is None or stamp == seen:
            continue
        seen = stamp
        _renew(contexts, files)


def _renew(contexts: Sequence[ssl.SSLContext], files: CertificateFiles) -> None:
    """Try the files first: a key that does not match would leave a context with half of each."""
    refused = files.load_into(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
    if refused is not None:
        fields: dict[str, object] = {"reason": refused.reason}
        write_event(CERTIFICATE_REFUSED, fields)
        return
    for context in contexts:
        files.load_into(context)
    write_event(CERTIFICATE_LOADED, {"certificate": files.certificate})
