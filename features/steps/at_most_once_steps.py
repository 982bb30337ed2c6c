"""Steps for calls that may not be repeated, through two proxies."""

from __future__ import annotations

from behave import given
from behave.runner import Context
from hypothesis import given as examples
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from proxy_harness import (
    FakeKeepers,
    ProxyHarness,
    derandomized,
)

from limelever.common.errors import ErrorKind, Failure
from limelever.proxy.call_types import (
    CallerGone,
)


@given("any outcomes, losses and resends through two proxies, no key runs twice")
def never_twice(context: Context) -> None:
    actions = st.sampled_from(["place", "answer", "refuse", "fail", "lose", "time", "leave"])
    steps = st.lists(st.tuples(actions, st.integers(0, 1), st.integers(0, 9)), max_size=40)

    @hypothesis_settings(derandomized, max_examples=300)
    @examples(steps)
    def check(plan: list[tuple[str, int, int]]) -> None:
        keepers = FakeKeepers()
        proxies = [ProxyHarness(3, keepers, seed).start() for seed in (1, 2)]
        not_run = 0
        for action, at, number in plan:
            not_run += run_placing_step(proxies[at], action, number)
        handed_on = sum(len(proxy.handed_on) for proxy in proxies)
        assert handed_on - not_run <= 1, (handed_on, not_run)
        for proxy in proxies:
            proxy.pass_time(5.0)
            told = [proxy.answers[call] for call in proxy.answers]
            assert all(len(answers) <= 1 for answers in told)
            ran = [a for answers in told for a in answers if not isinstance(a, Failure)]
            assert not ran or handed_on - not_run == 1

    check()


def run_placing_step(proxy: ProxyHarness, action: str, number: int) -> int:
    """Carry out a step; return how many attempts the agent truly did not run."""
    if action == "place":
        proxy.place("same-key")
    elif action == "time":
        proxy.pass_time(number / 5)
    elif action == "leave" and proxy.last_call:
        proxy.post(CallerGone(proxy.last_call))
    elif proxy.open:
        connection, start = proxy.open[-1]
        if action == "answer":
            proxy.answer(connection, start)
        elif action == "lose":
            proxy.lose(connection)
        elif action == "fail":
            proxy.refuse(connection, start, ErrorKind.BACKEND_FAILED)
        elif action == "refuse":
            kinds = [
                ErrorKind.DRAINING,
                ErrorKind.OVERLOADED,
                ErrorKind.WRONG_INCARNATION,
                ErrorKind.DEADLINE_TOO_SHORT,
            ]
            proxy.refuse(connection, start, kinds[number % len(kinds)])
            return 1
    return 0
