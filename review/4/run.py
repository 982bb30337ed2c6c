"""Requests with a body from clients that offer HTTP/2 by an ``Upgrade`` header."""

from __future__ import annotations

import asyncio
import os
import sys
import zlib
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit2"))

from small_site import (  # noqa: E402
    OUTBOUND,
    Answer,
    Instance,
    Machine,
    Operator,
    Record,
    Site,
    configuration,
    head,
    read_answer,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
REQUESTS = 20
DEADLINE_MS, TARGET_MS, WORK_S = 2000, 800, 0.05
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQAoAAAAAIAAAAA",
}
"""As in RFC 7540, section 3.2; a server may answer as if the offer weren't there."""


class Sent:
    """A request that a client has sent, and the answers on its connection."""

    def __init__(self, request: str, method: str, path: str, body: bytes) -> None:
        self.id, self.method, self.path, self.body = request, method, path, body
        self.answers: list[Answer] = []

    @property
    def asked(self) -> tuple[str, str, int, int]:
        """Return what an instance has to see."""
        return self.method, self.path, len(self.body), zlib.crc32(self.body)


async def send(node: Machine, sent: Sent) -> None:
    """Send a request on a new connection; read answers until the deadline has passed."""
    record = node.site.record
    fields: dict[str, object] = {
        "Host": HOST,
        "Limelever-Attempt-Id": sent.id,
        "Limelever-Deadline-Ms": DEADLINE_MS,
        "Content-Length": len(sent.body),
        **(OFFER if TROUBLE else {}),
    }
    record.line("client sends", sent.id, *sent.asked)
    reader, writer = await asyncio.open_connection(node.ip, OUTBOUND)
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            writer.write(head(f"{sent.method} {sent.path} HTTP/1.1", fields) + sent.body)
            while (answer := await read_answer(reader)) is not None:
                sent.answers.append(answer)
                answered = answer.headers.get("limelever-attempt-id", "none")
                record.line("client", sent.id, "->", answer.status, "to attempt", answered)
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()


def requests() -> list[Sent]:
    """Return orders, and uploads of texts that happen to be requests themselves."""
    made = []
    for number in range(REQUESTS):
        order = b'{"basket": %d, "paid": true}' % number
        made.append(Sent(f"order-{number}", "POST", f"/order/{number}", order))
        text = head(
            f"POST /order/in-a-text-{number} HTTP/1.1",
            {
                "Host": HOST,
                "Limelever-Attempt-Id": f"in-a-text-{number}",
                "Limelever-Deadline-Ms": DEADLINE_MS,
                "Content-Length": 0,
            },
        )
        made.append(Sent(f"upload-{number}", "POST", f"/up/{number}", text))
    return made


async def play(site: Site) -> int:
    """Play the case and return the exit status."""
    core = site.add_core(5)
    front = site.add_node(0, "alpha")
    backs = [site.add_node(20 + number, "vault") for number in range(2)]
    site.start()
    instances = [Instance(node, f"i-{node.name}", WORK_S) for node in [front, *backs]]
    for instance in instances:
        await instance.start()
    routes = [
        route("order", "/order/", "unsafe", "vault", DEADLINE_MS, TARGET_MS),
        route("up", "/up/", "upload", "vault", DEADLINE_MS, TARGET_MS),
    ]
    document = configuration(1, 0, HOST, ["alpha", "vault"], routes)
    taken = await Operator(site, core).order("PUT", "/v1/config", document)
    if taken is None or taken.status != 200 or not await site.until_ready([front, *backs]):
        print("the site did not come up")
        return 2
    await asyncio.sleep(4)
    sent = requests()
    for each in sent:
        await send(front, each)
    if not any(instance.ran for instance in instances):
        print("nothing ran")
        return 2
    return judge(site, sent, instances)


def judge(site: Site, sent: list[Sent], instances: list[Instance]) -> int:
    """Write what was seen; return whether the rule was broken."""
    record = site.record
    known = {each.id: each for each in sent}
    ran = [run for instance in instances for run in instance.runs]
    unknown = [run.id for run in ran if run.id not in known]
    changed = [run.id for run in ran if run.id in known and run.asked != known[run.id].asked]
    surplus = [each.id for each in sent if len(each.answers) > 1]
    served = sum(bool(each.answers) and each.answers[0].status == 200 for each in sent)
    record.line(f"{len(sent)} requests sent, {served} answered 200 at first")
    record.line("run with an id that no client sent:", unknown)
    record.line("run with another method, path or body:", changed)
    record.line("connections with more answers than requests:", surplus)
    broken = bool(unknown or changed)
    record.line("UNASKED:", "broken" if broken else "held")
    print(
        f"{len(sent)} sent, {served} answered 200; {len(changed)} run changed, "
        f"{len(unknown)} run that nobody sent, {len(surplus)} with surplus answers"
    )
    return int(broken)


async def main() -> int:
    """Play the case within its time."""
    site = Site(Record(HERE / "record.txt"))
    try:
        async with asyncio.timeout(115):
            return await play(site)
    except TimeoutError:
        print("took too long")
        return 2
    finally:
        await site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
