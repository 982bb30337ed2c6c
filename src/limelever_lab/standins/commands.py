"""Commands that run one stand-in until SIGTERM."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from limelever_lab.standins.backend import serve_backend
from limelever_lab.standins.behaviour import OPERATIONS, BackendSettings, Deception
from limelever_lab.standins.network import NetworkSettings, read_links, serve_network
from limelever_lab.standins.platform_list import PlatformListSettings, serve_platform_list
from limelever_lab.standins.process import run_until_signal

MILLISECONDS = 1000.0
Port = Annotated[int, typer.Option(min=1, max=65535)]
Milliseconds = Annotated[float, typer.Option(min=0.0)]


def backend(
    service: Annotated[str, typer.Option(help=f"One of {', '.join(OPERATIONS)}.")],
    port: Port,
    host: str = "127.0.0.1",
    instance: str = "backend",
    seed: int = 0,
    slots: Annotated[int, typer.Option(min=1)] = 6,
    queue: Annotated[int, typer.Option(min=0)] = 12,
    cold_ms: Milliseconds = 0.0,
    report_lag_ms: Milliseconds = 0.0,
    load_factor: Annotated[float, typer.Option(min=0.0, help="0 reports no load at all.")] = 1.0,
    always_healthy: bool = False,
    journal: Annotated[Path | None, typer.Option(help="File of runs, kept over a restart.")] = None,
) -> None:
    """Run a back end; its service times are drawn from the seed."""
    if service not in OPERATIONS:
        raise typer.BadParameter(f"unknown service {service}")
    settings = BackendSettings(
        service=service,
        port=port,
        host=host,
        instance=instance,
        seed=seed,
        slots=slots,
        queue=queue,
        cold_seconds=cold_ms / MILLISECONDS,
        journal=str(journal) if journal else "",
        deception=Deception(report_lag_ms / MILLISECONDS, load_factor, always_healthy),
    )
    run_until_signal(partial(serve_backend, settings))


def platform_list(port: Port, host: str = "127.0.0.1", lag_ms: Milliseconds = 0.0) -> None:
    """Run the platform's list of live, leaving and dead machines."""
    settings = PlatformListSettings(port=port, host=host, lag=lag_ms / MILLISECONDS)
    run_until_signal(partial(serve_platform_list, settings))


def network(
    links: Annotated[Path, typer.Option(help="JSON file of links, see standins.network.")],
    control_port: Port,
    delay_ms: Milliseconds = 0.0,
) -> None:
    """Run TCP links with a one-way delay; the control port breaks and heals them."""
    settings = NetworkSettings(read_links(links), control_port, delay_ms / MILLISECONDS)
    run_until_signal(partial(serve_network, settings))
