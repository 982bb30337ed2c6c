"""Steps for a node of the platform beside a warming instance, as real processes."""

from __future__ import annotations

import json
import threading
import time

from behave import then, when
from behave.runner import Context
from platform_process_steps import HEALTH_PATH, call, heartbeat, put, send, tell, wait_until
from warm_up_harness import most_in_a_second

from limelever.agent.events import WARM_UP_ENDED, WARM_UP_NOT_KNOWN, WARM_UP_STARTED

CALLERS = 6
REPORT_SECONDS = 0.5


def arrivals(context: Context) -> list[float]:
    """Return when requests came to the back end, except health probes."""
    seen = zip(context.back_end.times, list(context.back_end.seen), strict=False)
    return [at for at, (_, path, _) in seen if path != HEALTH_PATH]


def flood(context: Context, over: threading.Event) -> list[threading.Thread]:
    def ask() -> None:
        while not over.is_set():
            send(context, "/read/1")

    threads = [threading.Thread(target=ask) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    return threads


def flood_for(context: Context, seconds: float) -> None:
    over = threading.Event()
    threads = flood(context, over)
    time.sleep(seconds)
    over.set()
    for thread in threads:
        thread.join()


def report(context: Context, left_ms: int) -> None:
    context.reported = getattr(context, "reported", 0) + 1
    status = {"state": "ready", "seq": context.reported, "warmupLeftMs": left_ms}
    wait_until(lambda: tell(context, heartbeat(context, status=status)) == 200, "a report")


@when(
    "the platform's configuration of a service that bears {rate:g} calls a second while it warms "
    "up is put"
)
def put_limited(context: Context, rate: float) -> None:
    service = {
        "name": "alpha",
        "healthPath": HEALTH_PATH,
        "warmupS": 3,
        "warmupPerS": rate,
    }
    put(context, 1, 0, {"read": "safe"}, [service])


@when("the back end reports {left_ms:d} ms of warm-up, and is flooded for {seconds:g} seconds")
def report_and_flood(context: Context, left_ms: int, seconds: float) -> None:
    report(context, left_ms)
    wait_until(lambda: call(context.ready, "GET", "/v1/ready")[0] == 200, "the node is ready")
    wait_until(lambda: send(context, "/read/1")[1][0] == 200, "a request is served")
    flood_for(context, seconds)


@when("the back end is flooded for {seconds:g} seconds")
def flood_again(context: Context, seconds: float) -> None:
    wait_until(lambda: send(context, "/read/1")[1][0] == 200, "a request is served")
    flood_for(context, seconds)


@then("no second has more than {most:d} requests at the back end, and it had at least {least:d}")
def bounded(context: Context, most: int, least: int) -> None:
    times = arrivals(context)
    assert len(times) >= least, times
    assert most_in_a_second(times) <= most, times


@when(
    "the back end reports that it is warm, and is flooded until a second has more than {most:d} "
    "requests"
)
def flood_until(context: Context, most: int) -> None:
    over = threading.Event()
    threads = flood(context, over)

    def exceeded() -> bool:
        report(context, 0)
        time.sleep(REPORT_SECONDS)
        return most_in_a_second(arrivals(context)) > most

    try:
        wait_until(exceeded, "the limit ends")
    finally:
        over.set()
        for thread in threads:
            thread.join()


@then("the node's log tells of the warm-up that was known, not known and over")
def logged(context: Context) -> None:
    lines = context.machines[1].log.read_text().splitlines()
    codes = {json.loads(line).get("code") for line in lines if line.startswith("{")}
    assert {WARM_UP_STARTED, WARM_UP_NOT_KNOWN, WARM_UP_ENDED} <= codes, codes
