"""The guard of links that the settings ask for."""

from boragedeck.connection.guard import Guard, GuardChain, OpenGuard, SecretGuard
from boragedeck.connection.tls import TlsGuard
from boragedeck.exceptions import SettingsError
from boragedeck.process.settings import Settings

__all__ = ["make_guard"]


def make_guard(settings: Settings) -> Guard:
    """Return the guard of links between routers.

    Parameters
    ----------
    settings : Settings
        Checked settings. With certificates and a secret, both must hold.

    Raises
    ------
    SettingsError
        Where the files can't be used, such as a key of another certificate.
    """
    guards: list[Guard] = []
    try:
        if settings.tls_cert is not None:
            files = settings.tls_cert, settings.tls_key, settings.tls_ca
            guards.append(TlsGuard(*files))
        if settings.peer_secret_file is not None:
            guards.append(SecretGuard(settings.peer_secret_file))
    except (OSError, ValueError) as exc:
        raise SettingsError(f"links of routers: {exc}", step="read keys") from exc
    return GuardChain(*guards) if guards else OpenGuard()
