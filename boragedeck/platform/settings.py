"""Reads the settings file that the platform writes for each process."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import yaml
from result import Err, Ok, Result

from boragedeck.connection.address import Address
from boragedeck.exceptions import SettingsError
from boragedeck.ids import FailureDomain, VmName
from boragedeck.process.relaying.settings import Bounds, RelaySettings

__all__ = ["METRICS_PORT_VARIABLE", "SETTINGS_FILE_VARIABLE", "read_settings"]

SETTINGS_FILE_VARIABLE = "BORAGEDECK_CONFIG"
METRICS_PORT_VARIABLE = "BORAGEDECK_METRICS_PORT"
DEFAULT_METRICS_PORT = "9464"
MAX_LIMIT = 1e9


class _Listen(msgspec.Struct, rename="camel"):
    front: str
    ready: str
    control: str | None = None


class _Bounds(msgspec.Struct, rename="camel"):
    contact_ms: float = 3000
    grace_s: float = 8
    retry_budget_ratio: float = 0.8
    budget_window_s: float = 10
    retry_budget_extra: float = 150
    exposure_share: float = 0.1
    exposure_slack: float = 0
    config_apply_ms: float = 2000


class _Limits(msgspec.Struct, rename="camel"):
    cpu_share: float = 1.0
    """Share of one core, which is `cores` times as fast as a standard core."""
    cores: float = 1.0
    link_mbps: float = 1.0
    memory_mb: float | None = None
    max_fds: float | None = None


class _Store(msgspec.Struct, rename="camel"):
    address: str


class _File(msgspec.Struct, rename="camel"):
    node: str
    ip: str
    zone: str
    listen: _Listen
    internal_ports: tuple[int, int]
    platform: _Store
    heartbeat_ms: float = 1200
    """How often replicas renew their entries, not how often this process does."""
    seeds: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_settings(
    environ: Mapping[str, str],
) -> Result[RelaySettings | None, SettingsError]:
    """Read the settings file that the environment names.

    Returns
    -------
    Result
        The settings, None if the environment names no file, or
        ``Err(SettingsError)`` with one line that names the field, its value and
        the expected value.
    """
    name = environ.get(SETTINGS_FILE_VARIABLE)
    if not name:
        return Ok(None)
    try:
        tree = yaml.safe_load(Path(name).read_text())
        file = msgspec.convert(tree, _File, strict=False)
        port = environ.get(METRICS_PORT_VARIABLE, DEFAULT_METRICS_PORT)
        return Ok(_settings(file, _address(METRICS_PORT_VARIABLE, f"{file.ip}:{port}")))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        return Err(_error(name, f"can't be read: {exc}"))
    except (msgspec.ValidationError, ValueError) as exc:
        return Err(_error(name, str(exc)))


def _settings(file: _File, metrics: Address) -> RelaySettings:
    first_port, last_port = file.internal_ports
    if not 0 < first_port < last_port <= 65_535:
        raise ValueError(
            f"internalPorts got {file.internal_ports}; expected two ports,"
            " the lower one first"
        )
    if file.heartbeat_ms <= 0.0:
        raise ValueError(f"heartbeatMs got {file.heartbeat_ms}; expected more than 0")
    bounds, limits = file.bounds, file.limits
    for name, value in (("memoryMb", limits.memory_mb), ("maxFds", limits.max_fds)):
        if value is not None and not 0 < value < MAX_LIMIT:
            raise ValueError(f"limits.{name} got {value}; expected more than 0")
    return RelaySettings(
        vm=VmName(file.node),
        failure_domain=FailureDomain(file.zone),
        callers=_address("listen.front", file.listen.front),
        ready=_address("listen.ready", file.listen.ready),
        peer=Address(file.ip, first_port),
        metrics=metrics,
        seeds=tuple(
            Address(_address("seeds", seed).host, first_port) for seed in file.seeds
        ),
        store=_address("platform.address", file.platform.address),
        bounds=Bounds(
            contact_s=bounds.contact_ms / 1000.0,
            grace_s=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_extra=bounds.retry_budget_extra,
            exposure_share=bounds.exposure_share,
            exposure_extra=bounds.exposure_slack,
            config_apply_s=bounds.config_apply_ms / 1000.0,
        ),
        heartbeat_s=file.heartbeat_ms / 1000.0,
        capacity=limits.link_mbps * limits.cpu_share * limits.cores,
        memory_mb=limits.memory_mb,
        max_fds=None if limits.max_fds is None else int(limits.max_fds),
    )


def _address(field: str, text: Any) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) <= 65_535:
        raise ValueError(f"{field} got {text!r}; expected IP:PORT")
    return Address(host, int(port))


def _error(name: str, text: str) -> SettingsError:
    return SettingsError(f"{name}: {text}", step="read settings", peer=name)
