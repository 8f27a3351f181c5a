"""Prometheus metrics of the configuration in force."""

import math

from prometheus_client import CollectorRegistry, Gauge

from boragedeck.version.config_watch import ConfigStatus, ConfigWatch

__all__ = ["register_config_metrics"]


def register_config_metrics(registry: CollectorRegistry, watch: ConfigWatch) -> None:
    """Register metrics of the configuration in force at a router.

    Parameters
    ----------
    registry : CollectorRegistry
        The registry to which the metrics are added.
    watch : ConfigWatch
        The source of the values, read at each scrape.
    """
    for name, text, read in (
        ("revision", "Revision in force.", lambda status: status.revision),
        (
            "in_force_seconds",
            "Seconds since the revision came into force.",
            lambda status: status.in_force_s,
        ),
        (
            "confirmed_seconds",
            "Seconds since the platform was last read; NaN before the first read.",
            _confirmed_s,
        ),
        (
            "platform_readable",
            "Whether the last poll could read the platform.",
            lambda status: not status.platform_error,
        ),
    ):
        gauge = Gauge(f"boragedeck_config_{name}", text, registry=registry)
        gauge.set_function(lambda read=read: float(read(watch.status())))


def _confirmed_s(status: ConfigStatus) -> float:
    return math.nan if status.confirmed_s is None else status.confirmed_s
