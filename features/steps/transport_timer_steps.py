"""Steps for the timer of a core's deadlines."""

from __future__ import annotations

import math

import trio
import trio.testing
from behave import given, then, when

from limelever.transport.timer import DeadlineTimer

TASK = "the timer"


class Bench(trio.abc.Instrument):
    """A core's deadline under virtual time, and the steps that the timer's task takes."""

    def __init__(self, deadline: float | None) -> None:
        self.deadline = deadline
        self.keeps_deadline = False
        self.told: list[float] = []
        self.steps = 0
        self.ended_at = math.inf
        self.timer = DeadlineTimer(lambda: self.deadline, self.on_deadline)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.steps += task.name == TASK

    def on_deadline(self) -> None:
        self.told.append(trio.current_time())
        if not self.keeps_deadline:
            self.deadline = None

    async def run_timer(self) -> None:
        await self.timer.run()
        self.ended_at = trio.current_time()

    def play(self, script, until: float) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.run_timer, name=TASK)
                await script()
                await trio.sleep_until(until)
                nursery.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(main, clock=clock, instruments=[self])

    def arm(self, deadline: float) -> None:
        self.deadline = deadline
        self.timer.arm()


@given("a timer that waits for second {deadline:d}")
def given_timer(context, deadline):
    context.bench = Bench(float(deadline))


@given("a timer that waits for nothing")
def given_idle(context):
    context.bench = Bench(None)


@given("a timer whose deadline stays in the past")
def given_past(context):
    context.bench = Bench(-1.0)
    context.bench.keeps_deadline = True


@when("the deadline becomes second {deadline:d} within the first second")
def when_moved(context, deadline):
    play_moves(context.bench, [deadline])


@when("the deadline becomes second {a:d}, second {b:d} and second {c:d} within the first second")
def when_moved_often(context, a, b, c):
    play_moves(context.bench, [a, b, c])


def play_moves(bench: Bench, deadlines: list[int]) -> None:
    async def script() -> None:
        for deadline in deadlines:
            await trio.sleep(0.2)
            bench.arm(float(deadline))

    bench.play(script, until=9.0)


@when("another task takes {turns:d} turns")
def when_turns(context, turns):
    async def script() -> None:
        for _ in range(turns):
            await trio.lowlevel.checkpoint()
        context.told, context.turns = len(context.bench.told), turns

    context.bench.play(script, until=0.0)


@when("the timer is stopped at second {second:d}")
def when_stopped(context, second):
    async def script() -> None:
        await trio.sleep(second)
        context.bench.timer.stop()

    context.bench.play(script, until=9.0)


@then("the timer told of its deadline at second {second:d} alone")
def then_told(context, second):
    assert context.bench.told == [second], context.bench.told


@then("the timer's task ran at its start, at its deadline and at its end")
def then_ran(context):
    assert context.bench.steps == 3, context.bench.steps


@then("the timer told of its deadline no more often than once for each of these turns")
def then_fair(context):
    assert 1 <= context.told <= context.turns, (context.told, context.turns)


@then("the timer's task has ended by second {second:d}")
def then_ended(context, second):
    assert context.bench.ended_at <= second, context.bench.ended_at
