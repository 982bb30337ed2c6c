"""Steps for a proxy whose configuration is no longer confirmed current."""

from __future__ import annotations

from behave import given, then, when
from behave.runner import Context

from limelever.common.sansio import Address, Role
from limelever.proxy.process import core_settings
from limelever.proxy.settings import ConfigurationSettings, EdgeSettings, ProxySettings


@when("the proxy's relay stops responding")
def relay_stops_responding(context: Context) -> None:
    context.proxy.relay_answers = False


@when("the proxy's relay responds again")
def relay_responds_again(context: Context) -> None:
    context.proxy.relay_answers = True


@given("settings of a proxy whose configuration.stale_after_ms is {milliseconds:d}")
def given_proxy_settings(context: Context, milliseconds: int) -> None:
    here = Address("127.0.0.1", 1)
    context.settings = ProxySettings(
        role=Role.PROXY,
        name="proxy-1",
        zone="one",
        services=("orders",),
        relays=(here,),
        edge=EdgeSettings(listen=here),
        configuration=ConfigurationSettings(stale_after_ms=milliseconds, probe_interval_ms=500),
    )


@then("its core reports missing routes up to {seconds:f} seconds after the last freshness proof")
def check_core_settings(context: Context, seconds: float) -> None:
    settings = core_settings(context.settings)
    assert settings.calls.admission.stale_after == seconds, settings.calls.admission
    assert settings.subscriber.stale_after == seconds, settings.subscriber
