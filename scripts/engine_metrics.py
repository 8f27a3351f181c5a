"""Reads the metrics of a stand-in engine."""

import collections
import http.client
from collections.abc import Iterable

from prometheus_client.parser import text_string_to_metric_families

from scripts.local_cluster import Process

__all__ = ["RUNNING_REQUESTS", "busy_engine", "read_metrics"]

RUNNING_REQUESTS = "vllm:num_requests_running"
TIMEOUT_S = 5.0


def read_metrics(engine: Process, timeout_s: float = TIMEOUT_S) -> dict[str, float]:
    """Return the sum of each metric's samples, by sample name.

    Parameters
    ----------
    engine : Process
        The engine.
    timeout_s : float
        Timeout of each socket operation, in seconds.

    Raises
    ------
    OSError
        If the engine does not answer.
    """
    host = engine.url.removeprefix("http://")
    conn = http.client.HTTPConnection(host, timeout=timeout_s)
    try:
        conn.request("GET", "/metrics")
        text = conn.getresponse().read().decode()
    finally:
        conn.close()
    sums = collections.Counter()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            sums[sample.name] += sample.value
    return sums


def busy_engine(engines: Iterable[Process]) -> Process:
    """Return the first engine that runs a request.

    Raises
    ------
    RuntimeError
        If no engine runs a request.
    """
    for engine in engines:
        if read_metrics(engine)[RUNNING_REQUESTS] > 0:
            return engine
    raise RuntimeError("no engine runs a request")
