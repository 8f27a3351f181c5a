"""API keys of the organisations, from the configuration in force."""

import hashlib

from boragedeck.ids import OrganisationName
from boragedeck.interfaces import ConfigSource
from boragedeck.version.tables import Config

__all__ = ["KeyRing"]


class KeyRing:
    """Finds the organisation of an API key.

    Parameters
    ----------
    config : ConfigSource
        The configuration, which declares the organisations.
    """

    def __init__(self, config: ConfigSource):
        self._owners: dict[str, OrganisationName] = {}
        self._load(config.current())
        config.subscribe(self._load)

    def organisation(self, key: str) -> OrganisationName | None:
        """Return the organisation that owns a key, or None.

        Parameters
        ----------
        key : str
            The key as the caller sent it. Only its hash is looked up, so that the
            duration of the lookup reveals nothing about the key.
        """
        digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
        return self._owners.get(digest)

    def _load(self, cfg: Config) -> None:
        self._owners = {
            digest: organisation.name
            for organisation in cfg.organisations
            for digest in organisation.key_sha256
        }
