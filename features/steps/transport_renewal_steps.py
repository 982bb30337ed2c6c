"""Steps for certificates that are renewed under a running process, in virtual time."""

from __future__ import annotations

import ssl
import tempfile
from pathlib import Path

import trio
import trio.testing
from behave import given, then, when
from certificates import HOST, Authorities, trusting
from transport_server import EventLog

from limelever.transport.tls import (
    RENEWAL_POLL_SECONDS,
    CertificateFiles,
    certificate_kept_current,
    one_sided_context,
)


class WatchedCertificate:
    """Files under watch; each later version of them names one more host."""

    def __init__(self, folder: Path) -> None:
        self.authorities = Authorities(folder)
        self.names = [HOST]
        self.files = CertificateFiles(*self.authorities.files(self._issue()))
        self.context = one_sided_context(self.files, ("h2",))
        assert isinstance(self.context, ssl.SSLContext)

    def renew(self) -> None:
        self.names.append(f"renewed-{len(self.names)}.example")
        self._replace(*self.authorities.files(self._issue()))

    def replace_key(self) -> None:
        _, key = self.authorities.files(self._issue())
        self._replace("", key)

    async def names_seen(self) -> list[str]:
        """Return the names in the certificate that a new connection sees."""
        client_end, server_end = trio.testing.memory_stream_pair()
        trust = trusting(self.authorities.own)
        client = trio.SSLStream(client_end, trust, server_hostname=HOST)
        server = trio.SSLStream(server_end, self.context, server_side=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.do_handshake)
            nursery.start_soon(server.do_handshake)
        return [name for _, name in client.getpeercert()["subjectAltName"]]

    def _issue(self):
        return self.authorities.own.issue_cert(*self.names)

    def _replace(self, certificate: str, key: str) -> None:
        if certificate:
            Path(certificate).replace(self.files.certificate)
        Path(key).replace(self.files.key)


@given("a watched certificate")
def given_watched(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.watched = WatchedCertificate(Path(folder.name))
    context.log = EventLog()
    context.add_cleanup(context.log.close)
    context.changes = []


@when("the watched certificate's files are renewed")
def when_renewed(context):
    context.changes = [context.watched.renew]


@when("the watched certificate's key is another's")
def when_other_key(context):
    context.changes = [context.watched.replace_key]


@when("the watch has looked at them")
def when_watch_looked(context):
    watched = context.watched

    async def main():
        async with certificate_kept_current([watched.context], watched.files):
            for change in context.changes:
                change()
            await trio.sleep(RENEWAL_POLL_SECONDS * 1.5)
            context.seen = await watched.names_seen()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@then("new connections see the renewed certificate")
def then_see_renewed(context):
    assert len(context.watched.names) == 2
    assert set(context.seen) == set(context.watched.names), context.seen


@then("new connections see the former certificate")
def then_see_former(context):
    assert context.seen == [HOST], context.seen


@then("the watch has logged {code:d}")
def then_watch_logged(context, code):
    assert [event.code for event in context.log.events] == [code], context.log.events
