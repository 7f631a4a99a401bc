"""OpenTelemetry metrics, exported only on request as JSON or text."""

from __future__ import annotations

from typing import Any

from opentelemetry.metrics import CallbackOptions, Counter, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)

__all__ = ["Metrics"]

DURATION_BOUNDARIES_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.25,
    0.5,
    0.75,
    1.0,
    2.5,
    5.0,
    7.5,
    10.0,
)
"""Buckets recommended by the OpenTelemetry semantic conventions for HTTP durations."""

KNOWN_METHODS = frozenset(
    ("CONNECT", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT", "TRACE")
)
OTHER_METHOD = "_OTHER"
"""Value of the semantic conventions for other methods. Callers choose the method, and
each value has a histogram of its own."""


class Metrics:
    """Metric instruments of one process.

    Attributes have low cardinality: method, status, outcome. With names of teams or
    keys as attributes, memory would grow with the configuration.
    """

    def __init__(self) -> None:
        """Create the instruments without changing the process-wide provider."""
        self._reader = InMemoryMetricReader()
        buckets = ExplicitBucketHistogramAggregation(DURATION_BOUNDARIES_S)
        views = [View(instrument_name="*.duration", aggregation=buckets)]
        provider = MeterProvider(metric_readers=[self._reader], views=views)
        self._meter = provider.get_meter("primrosepitch")
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        self._server_duration = self._meter.create_histogram(
            "http.server.request.duration", "s", "Time from request to response."
        )
        self._client_duration = self._meter.create_histogram(
            "http.client.request.duration", "s", "Time of an exchange with an endpoint."
        )

    def add_gauge(self, name: str, unit: str, read: Any, description: str = "") -> None:
        """Add a gauge whose value is read on each export.

        :param read: function without parameters that returns the value
        """

        def callback(options: CallbackOptions) -> list[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(name, [callback], unit, description)

    def server_request(
        self, method: str, status: int, outcome: str, seconds: float
    ) -> None:
        """Record the duration of a caller's request."""
        attributes: dict[str, str | int] = {
            "http.request.method": method if method in KNOWN_METHODS else OTHER_METHOD,
            "http.response.status_code": status,
            "primrose.outcome": outcome,
        }
        self._server_duration.record(seconds, attributes)

    def client_request(self, result: str, seconds: float) -> None:
        """Record the duration of an exchange with an endpoint.

        :param result: ``answered`` or the kind of failure
        """
        self._client_duration.record(seconds, {"primrose.result": result})

    def count(self, name: str, amount: int = 1, **attributes: str) -> None:
        """Increase a counter, which is created on first use."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._counters[name] = self._meter.create_counter(name)
        counter.add(amount, attributes)

    def record_duration(self, name: str, seconds: float, **attributes: str) -> None:
        """Record a duration in a histogram, which is created on first use."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(name, "s")
            self._histograms[name] = histogram
        histogram.record(seconds, attributes)

    def as_prometheus_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        data = self._reader.get_metrics_data()
        if data is None:
            return b""
        lines: list[str] = []
        for resource in data.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    lines += _prometheus_lines(metric)
        return ("\n".join(lines) + "\n").encode()

    def as_json(self) -> bytes:
        """Return all metrics in the JSON format of the OpenTelemetry SDK."""
        data = self._reader.get_metrics_data()
        text = data.to_json(indent=0) if data is not None else "{}"
        return text.encode()


def _prometheus_lines(metric: Any) -> list[str]:
    """Return the lines of one metric in the Prometheus text format."""
    name = metric.name.replace(".", "_")
    lines = []
    for point in metric.data.data_points:
        labels = [
            f'{key.replace(".", "_")}="{value}"'
            for key, value in sorted(dict(point.attributes or {}).items())
        ]
        if not hasattr(point, "bucket_counts"):
            lines.append(f"{name}{_label_set(labels)} {point.value}")
            continue
        total = 0
        bounds = [*point.explicit_bounds, "+Inf"]
        for bound, count in zip(bounds, point.bucket_counts, strict=True):
            total += count
            le = f'le="{bound}"'
            lines.append(f"{name}_bucket{_label_set([*labels, le])} {total}")
        lines.append(f"{name}_sum{_label_set(labels)} {point.sum}")
        lines.append(f"{name}_count{_label_set(labels)} {point.count}")
    return lines


def _label_set(labels: list[str]) -> str:
    return "{" + ",".join(labels) + "}" if labels else ""
