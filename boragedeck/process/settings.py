"""Settings of the daemon, read from flags and environment variables."""

import argparse
import ipaddress
import os
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
import urllib3
from result import Err, Ok, Result

import boragedeck
from boragedeck.connection.guard import read_secrets
from boragedeck.connection.peer import Address
from boragedeck.exceptions import SettingsError
from boragedeck.ids import FailureDomain, VmName

__all__ = [
    "SETTINGS",
    "Setting",
    "Settings",
    "check_url",
    "environment_name",
    "parse_settings",
    "read_setting",
]

ENVIRONMENT_PREFIX = "BORAGEDECK_"
MAX_PORT = 65_535
MAX_DRAIN_S = 3600.0
MAX_MEMORY_MB = 1e7
MIN_FDS = 64
MAX_FDS = 10_000_000


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one daemon.

    Parameters
    ----------
    listen : Address
        The address at which callers connect; port 0 picks a free port.
    peer_listen : Address
        The address at which other routers connect; port 0 picks a free port.
    advertise : str
        The IP address at which callers reach `listen`.
    peer_advertise : str
        The IP address at which other routers reach `peer_listen`.
    vm : VmName
        The VM that the daemon runs on.
    failure_domain : FailureDomain
        The failure domain of the VM.
    platform_url : str
        Base URL of the platform.
    seed_peers : tuple of Address
        Routers to contact while the platform is unreachable.
    peer_secret_file : Path or None
        Contains the secret that routers share. Without it and without certificates,
        links between routers may use loopback addresses only.
    tls_cert, tls_key, tls_ca : Path or None
        Certificate, key and authority of the links between routers, in PEM;
        all three or none.
    log_file : Path or None
        The file that logs are appended to; None for standard error.
    drain_s : float
        How long running answers may go on after a stop is requested, in seconds.
    memory_mb : float or None
        The VM's memory, in MB; None if it isn't known.
    max_fds : int or None
        The descriptors that the daemon may open; None if that isn't known.
    """

    listen: Address
    peer_listen: Address
    advertise: str
    peer_advertise: str
    vm: VmName
    failure_domain: FailureDomain
    platform_url: str
    seed_peers: tuple[Address, ...] = ()
    peer_secret_file: Path | None = None
    tls_cert: Path | None = None
    tls_key: Path | None = None
    tls_ca: Path | None = None
    log_file: Path | None = None
    drain_s: float = 30.0
    memory_mb: float | None = None
    max_fds: int | None = None


class Setting(msgspec.Struct, frozen=True):
    """One setting: its name, its parser and its help text.

    Parameters
    ----------
    name : str
        The name in `Settings`.
    read : callable
        Parses the text into the value; raises ValueError if the text is invalid.
    expected : str
        The expected values, for the help and for errors. The words before the first
        comma name the value in the help.
    help_text : str
        What the setting controls.
    default : str or None
        The text that is used if none is given; if it is empty, the setting is
        left out.
    is_required : bool
        Whether a value must be given.
    """

    name: str
    read: Callable[[str], Any]
    expected: str
    help_text: str
    default: str = ""
    is_required: bool = False

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return "--" + self.name.replace("_", "-")


def environment_name(setting: Setting) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + setting.name.upper()


def check_url(text: str) -> str:
    """Return a base URL without trailing slashes.

    Raises
    ------
    ValueError
        If it isn't an http or https URL with a host, or has a user, query or
        fragment.
    """
    try:
        url = urllib3.util.parse_url(text)
    except urllib3.exceptions.LocationParseError as exc:
        raise ValueError(str(exc)) from exc
    if url.scheme not in ("http", "https") or not url.host:
        raise ValueError("not an http or https URL with a host")
    if url.query or url.fragment or url.auth:
        raise ValueError("a base URL must not have a user, query or fragment")
    return text.rstrip("/")


def parse_settings(
    arguments: Sequence[str], environ: Mapping[str, str] | None = None
) -> Result[Settings, SettingsError]:
    """Parse the settings of a daemon.

    Parameters
    ----------
    arguments : sequence of str
        The command line without the program's name. A flag takes precedence over
        its environment variable.
    environ : mapping, optional
        The environment variables; those of the process by default.

    Returns
    -------
    Result
        The settings, or ``Err(SettingsError)`` with one line that names the flag, the
        value that it got and the expected values.

    Raises
    ------
    SystemExit
        After ``--help`` or ``--version``, with code 0.
    """
    environ = os.environ if environ is None else environ
    try:
        flag_values = vars(_parser().parse_args(list(arguments)))
        values = {}
        for setting in SETTINGS:
            text = flag_values[setting.name]
            if text is None:
                text = environ.get(environment_name(setting), "")
            values |= _read_value(setting, text)
        return Ok(Settings(**_check_and_complete(values)))
    except SettingsError as exc:
        return Err(exc)


def read_setting(name: str, text: str | None) -> Result[Any, SettingsError]:
    """Check one setting by itself.

    Parameters
    ----------
    name : str
        Its name in `Settings`.
    text : str or None
        The text that was given; None if there is none.

    Returns
    -------
    Result
        The value, None for an optional setting that is not given, or
        ``Err(SettingsError)``.
    """
    setting = next(setting for setting in SETTINGS if setting.name == name)
    try:
        return Ok(_read_value(setting, text or "").get(name))
    except SettingsError as exc:
        return Err(exc)


class _Parser(argparse.ArgumentParser):
    def error(self, message: str) -> None:
        raise SettingsError(f"{message}; see --help")


def _parser() -> argparse.ArgumentParser:
    parser = _Parser(
        prog="boragedeckd",
        description="Serve long model generations: the router.",
        allow_abbrev=False,
    )
    parser.add_argument(
        "--version", action="version", version=f"boragedeckd {boragedeck.__version__}"
    )
    for setting in SETTINGS:
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar=setting.expected.split(",")[0].upper().replace(" ", "-"),
            help=_help(setting),
        )
    return parser


def _help(setting: Setting) -> str:
    requirement = (
        "required" if setting.is_required else f"default: {setting.default or '-'}"
    )
    name = environment_name(setting)
    text = f"{setting.help_text}; takes {setting.expected} ({requirement}) [{name}]"
    return text.replace("%", "%%")


def _read_value(setting: Setting, text: str) -> dict[str, Any]:
    text = text.strip() or setting.default
    if not text:
        if setting.is_required:
            raise _error(setting, "nothing")
        return {}
    try:
        return {setting.name: setting.read(text)}
    except (ValueError, OSError) as exc:
        raise _error(setting, f"{text!r} ({exc})") from exc


def _error(setting: Setting, got: str) -> SettingsError:
    name = environment_name(setting)
    return SettingsError(
        f"{setting.flag} ({name}) got {got}; expected {setting.expected}"
    )


def _check_and_complete(values: dict[str, Any]) -> dict[str, Any]:
    """Check settings that depend on each other; add missing advertised addresses."""
    by_name = {setting.name: setting for setting in SETTINGS}
    for listen, advertise in (
        ("listen", "advertise"),
        ("peer_listen", "peer_advertise"),
    ):
        host = values[listen].host
        if advertise not in values and ipaddress.ip_address(host).is_unspecified:
            got = f"nothing, but {by_name[listen].flag} is {values[listen]}"
            raise _error(by_name[advertise], got)
        values.setdefault(advertise, host)
    tls = [name for name in ("tls_cert", "tls_key", "tls_ca") if name in values]
    if tls and len(tls) < 3:
        missing = next(n for n in ("tls_cert", "tls_key", "tls_ca") if n not in tls)
        got = f"nothing, but {by_name[tls[0]].flag} is given"
        raise _error(by_name[missing], got)
    if not tls and "peer_secret_file" not in values:
        _require_loopback(values, by_name)
    return values


def _require_loopback(values: dict[str, Any], by_name: dict[str, Setting]) -> None:
    """Refuse addresses other than loopback, for links without authentication."""
    for name, host in (
        ("peer_listen", values["peer_listen"].host),
        ("peer_advertise", values["peer_advertise"]),
    ):
        if not ipaddress.ip_address(host).is_loopback:
            requirement = "--peer-secret-file or --tls-cert"
            got = f"{values[name]} (not a loopback address: needs {requirement})"
            raise _error(by_name[name], got)


def _address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon:
        raise ValueError("the port is missing")
    if not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise ValueError(f"port {port!r} is not a number from 0 to {MAX_PORT}")
    return Address(_ip(host.removeprefix("[").removesuffix("]")), int(port))


def _peer_address(text: str) -> Address:
    address = _address(text)
    if address.port == 0:
        raise ValueError("port 0 is not an address that routers can connect to")
    return address


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(_peer_address(part.strip()) for part in text.split(","))


def _ip(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _advertised_ip(text: str) -> str:
    if ipaddress.ip_address(text).is_unspecified:
        raise ValueError("others can't connect to an unspecified address")
    return _ip(text)


def _name(text: str) -> str:
    if len(text) > 100 or not text.isprintable() or " " in text:
        raise ValueError(
            "longer than 100 characters, or with spaces or control characters"
        )
    return text


def _readable_file(text: str) -> Path:
    path = Path(text)
    with path.open("rb") as file:
        file.read(1)
    return path


def _secret_file(text: str) -> Path:
    path = Path(text)
    read_secrets(path)
    return path


def _log_file(text: str) -> Path:
    path = Path(text)
    with path.open("ab"):
        return path


def _drain_seconds(text: str) -> float:
    value = float(text)
    if not 0.0 <= value <= MAX_DRAIN_S:
        raise ValueError(f"not from 0 to {MAX_DRAIN_S:.0f}")
    return value


def _memory_mb(text: str) -> float:
    value = float(text)
    if not 0.0 < value <= MAX_MEMORY_MB:
        raise ValueError(f"not above 0 and up to {MAX_MEMORY_MB:.0f}")
    return value


def _descriptors(text: str) -> int:
    value = int(text)
    if not MIN_FDS <= value <= MAX_FDS:
        raise ValueError(f"not from {MIN_FDS} to {MAX_FDS}")
    return value


SETTINGS: tuple[Setting, ...] = (
    Setting(
        "listen",
        _address,
        "IP:PORT, where port 0 picks a free port",
        "address at which callers connect",
        default="127.0.0.1:8080",
    ),
    Setting(
        "peer_listen",
        _address,
        "IP:PORT, where port 0 picks a free port",
        "address at which other routers connect",
        default="127.0.0.1:8081",
    ),
    Setting(
        "advertise",
        _advertised_ip,
        "IP, one that others can connect to",
        "address at which callers reach --listen; by default the host of --listen",
    ),
    Setting(
        "peer_advertise",
        _advertised_ip,
        "IP, one that others can connect to",
        "address at which other routers reach --peer-listen; by default the host of"
        " --peer-listen",
    ),
    Setting("vm", _name, "NAME, without spaces", "name of this VM", is_required=True),
    Setting(
        "failure_domain",
        _name,
        "NAME, without spaces",
        "failure domain of this VM",
        is_required=True,
    ),
    Setting(
        "platform_url",
        check_url,
        "URL, such as http://10.0.0.1:7000",
        "base URL of the platform",
        is_required=True,
    ),
    Setting(
        "seed_peers",
        _addresses,
        "IP:PORT list, separated by commas",
        "routers to contact while the platform is unreachable",
    ),
    Setting(
        "peer_secret_file",
        _secret_file,
        "FILE, one or two lines of 16 bytes or more",
        "secret that all routers share; on the second line the previous one",
    ),
    Setting(
        "tls_cert",
        _readable_file,
        "FILE, in PEM",
        "certificate for links between routers",
    ),
    Setting("tls_key", _readable_file, "FILE, in PEM", "private key of --tls-cert"),
    Setting(
        "tls_ca",
        _readable_file,
        "FILE, in PEM",
        "CA certificate that signs the routers' certificates",
    ),
    Setting(
        "log_file",
        _log_file,
        "FILE, writable",
        "file for logs; standard error by default",
    ),
    Setting(
        "drain_s",
        _drain_seconds,
        "SECONDS, from 0 to 3600",
        "how long running answers may go on after SIGTERM or SIGINT",
        default="30",
    ),
    Setting(
        "memory_mb",
        _memory_mb,
        "MB, above 0",
        "memory of the VM, which bounds what is held for callers; by default 512, or"
        " half of the machine's memory if that is less",
    ),
    Setting(
        "max_fds",
        _descriptors,
        "COUNT, 64 or more",
        "descriptors that the daemon may open; half of them are for callers",
    ),
)
