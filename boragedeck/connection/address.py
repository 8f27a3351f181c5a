"""Network addresses."""

import msgspec

__all__ = ["Address"]


class Address(msgspec.Struct, frozen=True, array_like=True):
    """IP address and TCP port on which a process listens.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
