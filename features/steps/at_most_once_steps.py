"""Steps for at-most-once calls through two proxies that share their keepers."""

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


@given("any outcomes, link losses and resends through two proxies, no key runs twice")
def no_key_runs_twice(context: Context) -> None:
    actions = st.sampled_from(["place", "answer", "refuse", "fail", "lose", "time", "leave"])
    steps = st.lists(st.tuples(actions, st.integers(0, 1), st.integers(0, 9)), max_size=40)

    @hypothesis_settings(derandomized, max_examples=300)
    @examples(steps)
    def check(plan: list[tuple[str, int, int]]) -> None:
        keepers = FakeKeepers()
        proxies = [ProxyHarness(3, keepers, seed).start() for seed in (1, 2)]
        not_run = 0
        for action, proxy_index, number in plan:
            not_run += perform_step(proxies[proxy_index], action, number)
        sent = sum(len(proxy.sent_calls) for proxy in proxies)
        assert sent - not_run <= 1, (sent, not_run)
        for proxy in proxies:
            proxy.advance(5.0)
            answer_lists = [proxy.answers[call] for call in proxy.answers]
            assert all(len(answers) <= 1 for answers in answer_lists)
            ran = [a for answers in answer_lists for a in answers if not isinstance(a, Failure)]
            assert not ran or sent - not_run == 1

    check()


def perform_step(proxy: ProxyHarness, action: str, number: int) -> int:
    """Perform a random step; return how many attempts the agent did not run."""
    if action == "place":
        proxy.place_order("same-key")
    elif action == "time":
        proxy.advance(number / 5)
    elif action == "leave" and proxy.last_call:
        proxy.post(CallerGone(proxy.last_call))
    elif proxy.open_attempts:
        connection, start = proxy.open_attempts[-1]
        if action == "answer":
            proxy.answer(connection, start)
        elif action == "lose":
            proxy.close_link(connection)
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
