"""Tells the process's metrics in the text format of Prometheus; imported at the first scrape."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import accumulate

from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from limelever.transport.instruments import (
    COUNTERS,
    GAUGES,
    HISTOGRAMS,
    Counter,
    Distribution,
    Gauge,
    Histogram,
)

_BEYOND = "+Inf"


class InstrumentCollector(Collector):
    """Makes the library's families from the process's instruments."""

    def collect(self) -> Iterable[Metric]:
        """Return a family for each published instrument."""
        for counter in COUNTERS:
            yield _counter(counter)
        for gauge in GAUGES:
            if gauge.published:
                yield _gauge(gauge)
        for histogram in HISTOGRAMS:
            yield _histogram(histogram)


REGISTRY = CollectorRegistry()
REGISTRY.register(InstrumentCollector())
ProcessCollector(registry=REGISTRY)


def exposition() -> bytes:
    """Return all metrics as text."""
    return generate_latest(REGISTRY)


def _counter(counter: Counter) -> Metric:
    family = CounterMetricFamily(counter.name, counter.text, labels=counter.label_names)
    for labels, number in counter.by_labels.items():
        family.add_metric(labels, number.value)
    return family


def _gauge(gauge: Gauge) -> Metric:
    family = GaugeMetricFamily(gauge.name, gauge.text, labels=gauge.label_names)
    for labels, number in gauge.by_labels.items():
        family.add_metric(labels, number.read())
    return family


def _histogram(histogram: Histogram) -> Metric:
    family = HistogramMetricFamily(histogram.name, histogram.text, labels=histogram.label_names)
    for labels, distribution in histogram.by_labels.items():
        family.add_metric(labels, list(_buckets(distribution)), distribution.total)
    return family


def _buckets(distribution: Distribution) -> Iterator[tuple[str, float]]:
    """Return each bucket's upper bound and how many observations are not above it."""
    names = [*map(str, distribution.bounds), _BEYOND]
    return zip(names, accumulate(distribution.counts), strict=True)
