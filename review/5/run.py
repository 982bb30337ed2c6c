"""Uploads within the limits of the configuration, as many at once as the instances have slots."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit2"))

from small_site import (  # noqa: E402
    OUTBOUND,
    Instance,
    Machine,
    Operator,
    Record,
    Site,
    call,
    configuration,
    head,
    read_answer,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
FRONTS, BACKS, SLOTS = 6, 2, 6
UPLOADS = BACKS * SLOTS
UPLOAD_BYTES = 20 << 20
LIMIT_BYTES = 64 << 20
UPLOAD_DEADLINE_MS, UPLOAD_TARGET_MS = 4245, 1698
VIEW_DEADLINE_MS, VIEW_TARGET_MS = 2000, 800
UPLOAD_WORK_S, VIEW_WORK_S = 0.26, 0.2
ROUNDS, PAUSE_S = 5, 6.0
VIEWERS = 6
MOST_LOST = 3
"""The rule allows a machine this many kept connections closed without an answer."""

ENDS_OF_A_FAULT, MACHINES_OF_A_FAULT = 3, 2


class Viewers:
    """Clients on one machine that ask on kept connections, one request after the other."""

    def __init__(self, node: Machine) -> None:
        self.node = node
        self.served = 0
        self.unanswered: list[str] = []
        self._sent = 0

    async def run(self, number: int) -> None:
        """Ask for as long as the site runs."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.node.ip, OUTBOUND)
            except OSError:
                await asyncio.sleep(0.3)
                continue
            try:
                await self._ask(reader, writer, number)
            except ConnectionError:
                pass
            finally:
                writer.close()
            await asyncio.sleep(0.3)

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        answered = 0
        while True:
            self._sent += 1
            request = f"view-{self.node.name}-{number}-{self._sent}"
            fields = {
                "Host": HOST,
                "Limelever-Attempt-Id": request,
                "Limelever-Deadline-Ms": VIEW_DEADLINE_MS,
            }
            self.node.site.record.line("client sends", request, "to", self.node.name)
            writer.write(head(f"GET /view/{self._sent} HTTP/1.1", fields))
            answer = await read_answer(reader)
            if answer is None:
                if answered:
                    self.unanswered.append(request)
                    self.node.site.record.line("client", request, "-> closed without an answer")
                return
            self.node.site.record.line("client", request, "->", answer.status)
            answered += answer.status == 200
            self.served += answer.status == 200
            if answer.headers.get("connection", "").lower() == "close":
                return
            await asyncio.sleep(0.02)


async def upload(front: Machine, request: str) -> int:
    """Send an upload; return its status, 0 without an answer in time."""
    record = front.site.record
    record.line("client sends", request, UPLOAD_BYTES, "bytes to", front.name)
    fields = {
        "Host": HOST,
        "Limelever-Attempt-Id": request,
        "Limelever-Deadline-Ms": UPLOAD_DEADLINE_MS,
    }
    answer = await call(
        front.ip,
        OUTBOUND,
        "POST",
        f"/up/{request}",
        fields,
        bytes(UPLOAD_BYTES),
        UPLOAD_DEADLINE_MS / 1000,
    )
    status = answer.status if answer is not None else 0
    record.line("client", request, "->", status or "no answer in time")
    return status


async def one_round(fronts: list[Machine], number: int) -> list[int]:
    """Send the uploads of a round, at once or one after the other."""
    names = [f"up-{number}-{k}" for k in range(UPLOADS)]
    if TROUBLE:
        calls = [upload(fronts[k % FRONTS], name) for k, name in enumerate(names)]
        return list(await asyncio.gather(*calls))
    return [await upload(fronts[k % FRONTS], name) for k, name in enumerate(names)]


async def play(site: Site) -> int:
    """Play the case and return the exit status."""
    core = site.add_core(5)
    fronts = [site.add_node(n, "alpha") for n in range(FRONTS)]
    backs = [site.add_node(20 + n, "vault") for n in range(BACKS)]
    site.start()
    alphas = [Instance(node, f"i-{node.name}", VIEW_WORK_S, 12) for node in fronts]
    vaults = [Instance(node, f"i-{node.name}", UPLOAD_WORK_S, SLOTS) for node in backs]
    for instance in alphas + vaults:
        await instance.start()
    routes = [
        route("view", "/view/", "safe", "alpha", VIEW_DEADLINE_MS, VIEW_TARGET_MS),
        route("up", "/up/", "upload", "vault", UPLOAD_DEADLINE_MS, UPLOAD_TARGET_MS),
    ]
    document = configuration(1, 0, HOST, ["alpha", "vault"], routes)
    taken = await Operator(site, core).order("PUT", "/v1/config", document)
    if taken is None or taken.status != 200 or not await site.until_ready(fronts + backs):
        print("the site did not come up")
        return 2
    await asyncio.sleep(4)
    viewers = [Viewers(node) for node in backs]
    for each in viewers:
        site.tasks += [asyncio.create_task(each.run(n)) for n in range(VIEWERS)]
    await asyncio.sleep(1)
    statuses: list[int] = []
    for number in range(ROUNDS):
        statuses += await one_round(fronts, number)
        await asyncio.sleep(PAUSE_S if TROUBLE else 1.0)
    ran = {request for instance in alphas + vaults for request in instance.ran}
    if not any(request.startswith("up-") for request in ran):
        print("no upload ran")
        return 2
    return judge(site, statuses, viewers, ran)


def judge(site: Site, statuses: list[int], viewers: list[Viewers], ran: set[str]) -> int:
    """Write what was seen; return whether the rule was broken."""
    record = site.record
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    record.line("uploads by status:", counts)
    ends = {machine.name: machine.memory_kills + machine.own_ends for machine in site.machines}
    peaks = {machine.name: round(machine.peak_mb) for machine in site.machines}
    record.line("ends of their own:", ends)
    record.line("peak MB of their own:", peaks)
    lost = {each.node.name: 0 for each in viewers}
    for each in viewers:
        lost[each.node.name] = sum(request in ran for request in each.unanswered)
        record.line("clients of", each.node.name, each.served, "served")
    record.line("kept connections closed, their request run by a sound instance:", lost)
    broken = max(lost.values()) > MOST_LOST
    record.line("LOST:", "broken" if broken else "held")
    struck = [name for name, count in ends.items() if count >= ENDS_OF_A_FAULT]
    fault = len(struck) >= max(MACHINES_OF_A_FAULT, len(site.machines) / 10)
    record.line("Fault, besides:", f"broken by {struck}" if fault else "held")
    print(f"uploads {counts}; connections closed without an answer {lost}; memory ends {ends}")
    return int(broken)


async def main() -> int:
    """Play the case within its time."""
    assert UPLOAD_BYTES <= LIMIT_BYTES
    site = Site(Record(HERE / "record.txt"))
    try:
        async with asyncio.timeout(110):
            return await play(site)
    except TimeoutError:
        print("took too long")
        return 2
    finally:
        await site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
