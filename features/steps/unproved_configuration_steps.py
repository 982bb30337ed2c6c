"""Steps for a proxy whose configuration is no longer proved current."""

from __future__ import annotations

from behave import when
from behave.runner import Context


@when("the proxy's relay falls silent")
def relay_falls_silent(context: Context) -> None:
    context.proxy.relay_answers = False


@when("the proxy's relay speaks again")
def relay_speaks_again(context: Context) -> None:
    context.proxy.relay_answers = True
