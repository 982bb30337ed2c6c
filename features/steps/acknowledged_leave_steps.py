"""Steps for instances that leave while the processes that acknowledge it are killed."""

from __future__ import annotations

import signal
import time
from collections import Counter

from behave import given, then, when
from behave.runner import Context
from instance_statement_steps import start_fleet, wait_until
from leaving_instances import DRAINING, ENDED, LeavingInstance
from platform_traffic import OK, is_ready
from stating_instances import StatedCallers

NODES = 3
PAUSE_SECONDS = 0.02
DOWN_SECONDS = 0.5
LEAVE_SECONDS = 2.0
"""Time after an acknowledged leave in which requests may still come."""

SETTLE_SECONDS = 3.0
"""Time after a node's start from which on requests through it count."""

JUDGED_SECONDS = 4.0


@given("a control process and three nodes of the platform with instances that leave")
def given_fleet(context: Context) -> None:
    start_fleet(context, NODES, LeavingInstance)


@when(
    "an instance, whose health responses {health}, says that it {leaves} under {callers:d} callers"
)
def leave(context: Context, health: str, leaves: str, callers: int) -> None:
    context.leaving = context.instances[-1]
    context.leaving.health_stays_positive = health == "stay positive"
    context.callers = StatedCallers(context.nodes, callers // NODES, PAUSE_SECONDS)
    context.add_cleanup(context.callers.stop)
    time.sleep(1.0)
    assert context.leaving.arrivals, "the instance has got no request while it took work"
    context.late_report = context.leaving.report()
    context.composed_at = time.monotonic()
    context.acknowledged_at = None
    context.how = DRAINING if leaves == "is draining" else ENDED
    context.said_at, context.responses = time.monotonic(), []
    send_leave(context)


def send_leave(context: Context) -> bool:
    """Have the instance say that it leaves; return whether the leave is acknowledged now."""
    status, took = context.leaving.leave(context.how)
    context.responded_at = time.monotonic()
    context.responses.append((status, round(took, 3)))
    if status == OK and context.acknowledged_at is None:
        context.acknowledged_at = context.responded_at
    return status == OK


@when("the instance repeats its leave until it is acknowledged")
def repeat_leave(context: Context) -> None:
    if context.acknowledged_at is None:
        wait_until(lambda: send_leave(context), "the leave is acknowledged")


@when("{processes} killed {delay:g} seconds after the {response}, and started again")
def kill(context: Context, processes: str, delay: float, response: str) -> None:
    if response == "acknowledgement":
        repeat_leave(context)
    time.sleep(delay)
    struck = [context.nodes[-1]]
    if processes == "all processes are":
        struck = [context.control, *context.nodes]
    for machine in struck:
        machine.kill()
    time.sleep(DOWN_SECONDS)
    for machine in (context.control, *context.nodes):
        if not machine.running:
            machine.start()
    context.started_at = time.monotonic()


@when("a report from before the leave arrives never")
def no_report(context: Context) -> None:
    finish(context)


@when("a report from before the leave arrives {seconds:g} s late")
def late_report(context: Context, seconds: float) -> None:
    time.sleep(max(0.0, context.composed_at + seconds - time.monotonic()))
    wait_until(lambda: context.leaving.send(context.late_report) == OK, "the report is taken")
    finish(context)


@when("the control process is killed")
def kill_control(context: Context) -> None:
    context.control.kill()


@when("the control process is held up")
def hold_control(context: Context) -> None:
    context.control.send(signal.SIGSTOP)


@when("the control process is started again")
def start_control(context: Context) -> None:
    context.control.start()


@then(
    "the leave is refused for {refused:g} seconds, and no request reaches the instance after "
    "{allowed:g} seconds"
)
def is_refused(context: Context, refused: float, allowed: float) -> None:
    left_at = context.responded_at
    while time.monotonic() < left_at + refused:
        send_leave(context)
    assert context.acknowledged_at is None, context.responses
    late = [each for each in context.leaving.arrivals if each.at > left_at + allowed]
    assert not late, f"{len(late)} requests"


def finish(context: Context) -> None:
    """Let the callers send on until enough can be judged."""
    wait_until(lambda: all(is_ready(node) for node in context.nodes), "the nodes are ready")
    counted = max(context.acknowledged_at + LEAVE_SECONDS, context.started_at + SETTLE_SECONDS)
    context.counted_from = counted
    context.served_from = max(counted, time.monotonic())
    time.sleep(context.served_from + JUDGED_SECONDS - time.monotonic())
    context.callers.stop()


@then(
    "each response to the leave came within {seconds:g} second, and it was acknowledged within "
    "{acknowledged:g} seconds"
)
def acknowledged(context: Context, seconds: float, acknowledged: float) -> None:
    print(f"responses to the leave (status, seconds): {context.responses}")
    assert all(each < seconds for _, each in context.responses), context.responses
    assert context.acknowledged_at is not None, context.responses
    took = context.acknowledged_at - context.said_at
    assert took < acknowledged, f"acknowledged after {took:.2f} s: {context.responses}"


@then("the first response to the leave came within {seconds:g} second")
def responded_within(context: Context, seconds: float) -> None:
    """Check the response of the process that ran; later ones may come from one that starts."""
    print(f"responses to the leave (status, seconds): {context.responses}")
    assert context.responses[0][1] < seconds, context.responses


@then(
    "no request reached the instance later than 2 seconds after the acknowledgement and 3 seconds "
    "after its node's start"
)
def none_reached(context: Context) -> None:
    late = [each for each in context.leaving.arrivals if each.at > context.counted_from]
    seconds = [round(each.at - context.acknowledged_at, 2) for each in late]
    assert not late, f"{len(late)} requests, {seconds[:5]} s after the acknowledgement"


@then("the other instances have served {share} requests")
def others_served(context: Context, share: str) -> None:
    """Check the requests since all nodes are ready; after a loss of all, service may still rest."""
    begun = context.served_from
    for instance in context.instances[:-1]:
        assert any(each.at > begun for each in instance.arrivals), instance.name
    sent = [each for each in context.callers.ended if each.sent_at > begun]
    served = [each for each in sent if each.status == OK]
    statuses = Counter(each.status for each in sent)
    print(f"statuses of the judged time: {dict(statuses)}")
    least = len(sent) * float(share.split()[2]) / 100
    assert len(served) >= least, f"{len(served)} of {len(sent)} served: {statuses}"
