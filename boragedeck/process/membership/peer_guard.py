"""Creates the guard of peer links from the settings."""

from boragedeck.connection.guard import Guard, GuardChain, OpenGuard, SecretGuard
from boragedeck.connection.tls import TlsGuard
from boragedeck.exceptions import SettingsError
from boragedeck.process.settings import Settings

__all__ = ["make_guard"]


def make_guard(settings: Settings) -> Guard:
    """Return the guard that authenticates links between routers.

    Parameters
    ----------
    settings : Settings
        Validated settings. If both certificates and a secret are set, a link must pass
        both checks.

    Raises
    ------
    SettingsError
        If the files can't be used, such as a key that doesn't match the certificate.
    """
    guards: list[Guard] = []
    try:
        if settings.tls_cert is not None:
            files = settings.tls_cert, settings.tls_key, settings.tls_ca
            guards.append(TlsGuard(*files))
        if settings.peer_secret_file is not None:
            guards.append(SecretGuard(settings.peer_secret_file))
    except (OSError, ValueError) as exc:
        raise SettingsError(f"peer links: {exc}", step="read keys") from exc
    return GuardChain(*guards) if guards else OpenGuard()
