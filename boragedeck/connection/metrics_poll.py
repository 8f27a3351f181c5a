"""HTTP client that polls the load, versions and health of engines."""

import msgspec
import urllib3
from prometheus_client.parser import text_string_to_metric_families
from result import Err, Ok, Result

from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import UpstreamError
from boragedeck.ids import Version
from boragedeck.process.placing.load import LoadReport

__all__ = ["EngineProbe", "parse_load"]

CONNECT_TIMEOUT_S = 0.3
READ_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 1024 * 1024
MAX_VERSIONS = 64
RUNNING_METRIC = "vllm:num_requests_running"
WAITING_METRIC = "vllm:num_requests_waiting"
CACHE_USE_METRIC = "vllm:kv_cache_usage_perc"
LOAD_METRICS = (RUNNING_METRIC, WAITING_METRIC, CACHE_USE_METRIC)
MAX_METRIC_VALUE = 1e9


class _Model(msgspec.Struct):
    id: str


class _Models(msgspec.Struct):
    data: list[_Model]


class EngineProbe:
    """Polls engines over its own connections."""

    def __init__(self):
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._http = urllib3.PoolManager(
            num_pools=64, maxsize=1, timeout=timeout, retries=False
        )

    def is_leaving(self, url: str) -> bool:
        """Return whether an upstream reports that it accepts no new requests.

        Without an answer, the result is False.
        """
        try:
            response = self._http.request("GET", f"{url}/health")
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return response.status == 503

    def load(self, url: str) -> Result[LoadReport, UpstreamError]:
        """Read an engine's load."""
        return self._get(url, "/metrics").and_then(
            lambda body: _parse_result(parse_load, body, url, "/metrics")
        )

    def versions(self, url: str) -> Result[frozenset[Version], UpstreamError]:
        """Read the versions that an engine serves, at most `MAX_VERSIONS`."""
        return self._get(url, "/v1/models").and_then(
            lambda body: _parse_result(_parse_versions, body, url, "/v1/models")
        )

    def _get(self, url: str, path: str) -> Result[bytes, UpstreamError]:
        try:
            response = self._http.request("GET", url + path, preload_content=False)
            body = response.read(MAX_BODY_BYTES)
            response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(UpstreamError(str(exc), step=path, peer=url))
        if response.status != 200:
            text = f"status {response.status}"
            return Err(UpstreamError(text, step=path, peer=url))
        return Ok(body)


def parse_load(body: bytes) -> LoadReport:
    """Parse the load from a page of metrics.

    Parameters
    ----------
    body : bytes
        Prometheus text; samples with the same name and different labels are summed.

    Raises
    ------
    ValueError
        If the page is not Prometheus text, a value is out of range, or any but the
        cache use is missing; without a value, the cache use is 0.
    """
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(body.decode()):
        for sample in family.samples:
            values[sample.name] = values.get(sample.name, 0.0) + sample.value
    if RUNNING_METRIC not in values or WAITING_METRIC not in values:
        raise ValueError(f"{RUNNING_METRIC} or {WAITING_METRIC} is missing")
    if not all(
        0.0 <= values.get(name, 0.0) <= MAX_METRIC_VALUE for name in LOAD_METRICS
    ):
        raise ValueError(f"a value is not between 0 and {MAX_METRIC_VALUE:.0f}")
    return LoadReport(
        int(values[RUNNING_METRIC]),
        int(values[WAITING_METRIC]),
        values.get(CACHE_USE_METRIC, 0.0),
    )


def _parse_versions(body: bytes) -> frozenset[Version]:
    models = msgspec.json.decode(body, type=_Models)
    return frozenset(Version(model.id) for model in models.data[:MAX_VERSIONS])


def _parse_result(parse, body: bytes, url: str, path: str) -> Result:
    try:
        return Ok(parse(body))
    except (ValueError, *DECODE_ERRORS) as exc:
        return Err(UpstreamError(str(exc), step=path, peer=url))
