"""Certificates for tests, by the names the features give them, made by trustme."""

from __future__ import annotations

import datetime
import ssl
from pathlib import Path

import trustme

from limelever.common.settings import TlsSettings

HOST = "127.0.0.1"
GOOD = "a good certificate"
NONE = "no certificate"
NO_TLS = "no TLS"
YEAR_2020 = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
YEAR_2021 = datetime.datetime(2021, 1, 1, tzinfo=datetime.UTC)


class Authorities:
    """The authority of the settings, another one, and files that hold their certificates."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._count = 0
        self.own = trustme.CA()
        self.other = trustme.CA()

    def settings(self, certificate: str) -> TlsSettings:
        """Return settings of a process that trusts the own authority and shows ``certificate``."""
        if certificate == NO_TLS:
            return TlsSettings()
        chain, key = self.files(self._issue(certificate))
        return TlsSettings(certificate=chain, key=key, authority=self.authority_file(self.own))

    def files(self, issued: trustme.LeafCert) -> tuple[str, str]:
        """Write chain and key, and return their paths."""
        self._count += 1
        chain = self._folder / f"{self._count}.pem"
        key = self._folder / f"{self._count}.key"
        chain.write_bytes(b"".join(pem.bytes() for pem in issued.cert_chain_pems))
        key.write_bytes(issued.private_key_pem.bytes())
        return str(chain), str(key)

    def authority_file(self, authority: trustme.CA) -> str:
        """Write an authority's certificate and return its path."""
        self._count += 1
        path = self._folder / f"{self._count}-authority.pem"
        path.write_bytes(authority.cert_pem.bytes())
        return str(path)

    def context_without_certificate(self) -> ssl.SSLContext:
        """Return the context of a client that trusts the own authority and shows nothing."""
        return trusting(self.own)

    def _issue(self, certificate: str) -> trustme.LeafCert:
        match certificate:
            case "a good certificate":
                return self.own.issue_cert(HOST)
            case "another authority's certificate":
                return self.other.issue_cert(HOST)
            case "an expired certificate":
                return self.own.issue_cert(HOST, not_before=YEAR_2020, not_after=YEAR_2021)
            case "a certificate of another host":
                return self.own.issue_cert("192.0.2.1")
        raise ValueError(certificate)


def trusting(authority: trustme.CA) -> ssl.SSLContext:
    """Return the context of a client that trusts one authority."""
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    authority.configure_trust(context)
    return context
