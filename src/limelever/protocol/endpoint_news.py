"""What relays tell proxies of endpoints, packed: a byte a figure, and none where nobody has one."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from msgspec import Struct

from limelever.protocol.endpoint_hash import LARGEST_LOAD
from limelever.protocol.endpoints_pb2 import LoadReport, LoadUpdate

_LARGEST_BYTE = 255
_PACE_STEP_PERMILLE = 20


class EndpointNews(Struct, frozen=True):
    """One endpoint's load in calls, and its pace in thousandths of the usual time, 0 not known."""

    load: int
    pace_permille: int = 0


class NumberedNews(Struct, frozen=True):
    """News of the endpoint with this number, see ``endpoint_hash``."""

    number: int
    news: EndpointNews


def news_of(report: LoadReport) -> EndpointNews:
    """Return what an agent told of its endpoint."""
    return EndpointNews(min(report.load, LARGEST_LOAD), report.pace_permille)


def pack(zone: str, told: Mapping[int, EndpointNews]) -> LoadUpdate:
    """Return the message with the news of a zone's endpoints by their numbers."""
    news = told.values()
    return LoadUpdate(
        zone=zone,
        endpoints=told.keys(),
        loads=bytes(each.load for each in news),
        paces=_figures([each.pace_permille for each in news], _PACE_STEP_PERMILLE),
    )


def unpack(update: LoadUpdate) -> Iterator[NumberedNews]:
    """Return the news in a message; what is cut short counts as not known."""
    paces = update.paces
    for place, (number, load) in enumerate(zip(update.endpoints, update.loads, strict=False)):
        pace = paces[place] if place < len(paces) else 0
        news = EndpointNews(load, pace * _PACE_STEP_PERMILLE)
        yield NumberedNews(number, news)


def _figures(values: list[int], step: int) -> bytes:
    if not any(values):
        return b""
    return bytes(min(_LARGEST_BYTE, round(value / step)) for value in values)
