"""Steps for the clock of processes."""

import time

import trio
from behave import given, then, when

from limelever.transport.clock import LONGEST_SLEEP, BootTimeClock

JUMP_AFTER_SECONDS = 0.1


class JumpingTime:
    """The system's steady time, and more from a moment on."""

    def __init__(self, jump: float) -> None:
        self._jump = jump
        self._from = time.monotonic() + JUMP_AFTER_SECONDS

    def __call__(self) -> float:
        now = time.monotonic()
        return now + self._jump if now >= self._from else now


@given("a clock that jumps ahead by {jump:d} seconds while a process waits")
def given_jump(context, jump):
    context.clock = BootTimeClock(JumpingTime(jump))


@when("the process waits for {seconds:d} seconds")
def waits(context, seconds):
    async def wait() -> float:
        begun = trio.current_time()
        await trio.sleep(seconds)
        return trio.current_time() - begun

    begun = time.monotonic()
    context.by_clock = trio.run(wait, clock=context.clock)
    context.own = time.monotonic() - begun


@then("it goes on within {own:g} seconds of its own, and {jump:d} seconds later by its clock")
def went_on(context, own, jump):
    assert own == LONGEST_SLEEP
    assert context.own < JUMP_AFTER_SECONDS + 10 * own, context.own
    assert jump <= context.by_clock < jump + JUMP_AFTER_SECONDS + 10 * own, context.by_clock


@given("a process that waits for {seconds:g} seconds by the clock of processes")
def waits_plainly(context, seconds):
    begun = time.monotonic()
    trio.run(trio.sleep, seconds, clock=BootTimeClock())
    context.waited = time.monotonic() - begun


@then("it has waited for {seconds:g} seconds by the system's steady clock")
def has_waited(context, seconds):
    assert context.waited >= seconds - 0.001, context.waited
