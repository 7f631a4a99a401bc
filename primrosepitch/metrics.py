"""OpenTelemetry metrics, read as JSON on request and sent nowhere."""

from __future__ import annotations

from typing import Any

from opentelemetry.metrics import CallbackOptions, Observation
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
"""Advised by the semantic conventions of OpenTelemetry for HTTP durations."""


class Metrics:
    """Instruments of one process.

    Attributes have few values: method, status, outcome. Names of teams or keys would
    let the memory grow with the configuration.
    """

    def __init__(self) -> None:
        """Create the instruments; the process-wide provider is left alone."""
        self._reader = InMemoryMetricReader()
        buckets = ExplicitBucketHistogramAggregation(DURATION_BOUNDARIES_S)
        views = [View(instrument_name="http.*.request.duration", aggregation=buckets)]
        provider = MeterProvider(metric_readers=[self._reader], views=views)
        self._meter = provider.get_meter("primrosepitch")
        self._server = self._meter.create_histogram(
            "http.server.request.duration", "s", "Time from request to response."
        )
        self._client = self._meter.create_histogram(
            "http.client.request.duration", "s", "Time of an exchange with an endpoint."
        )

    def observe(self, name: str, unit: str, read: Any, description: str = "") -> None:
        """Add a gauge whose value is read when the metrics are.

        :param read: function without parameters that returns a number
        """

        def callback(options: CallbackOptions) -> list[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(name, [callback], unit, description)

    def server_request(
        self, method: str, status: int, outcome: str, seconds: float
    ) -> None:
        """Count a request of a caller."""
        attributes: dict[str, str | int] = {
            "http.request.method": method,
            "http.response.status_code": status,
            "primrose.outcome": outcome,
        }
        self._server.record(seconds, attributes)

    def client_request(self, result: str, seconds: float) -> None:
        """Count an exchange with an endpoint.

        :param result: ``answered`` or how it failed
        """
        self._client.record(seconds, {"primrose.result": result})

    def as_json(self) -> bytes:
        """Return all metrics in the JSON form of the OpenTelemetry SDK."""
        data = self._reader.get_metrics_data()
        text = data.to_json(indent=0) if data is not None else "{}"
        return text.encode()
