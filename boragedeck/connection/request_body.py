"""The body of a request, whose bytes are freed when the request ends."""

from boragedeck.exceptions import RequestEndedError

__all__ = ["RequestBody"]


class RequestBody:
    """The bytes of the body of one request.

    All who need the bytes share this object. The connection that has read them
    releases them when the request ends, together with their reservation.

    Parameters
    ----------
    data : bytes, optional
        The whole body.

    Notes
    -----
    The attempts of a request, their threads and errors refer to one another in cycles,
    which only the garbage collector frees. It runs after a number of objects, however
    large they are, so bodies that were left to it would pile up.
    """

    __slots__ = ("_data", "_size")

    def __init__(self, data: bytes = b""):
        self._data: bytes | None = data
        self._size = len(data)

    def __len__(self) -> int:
        return self._size

    @property
    def data(self) -> bytes:
        """The bytes.

        Raises
        ------
        RequestEndedError
            If they were released.
        """
        if self._data is None:
            raise RequestEndedError("the request has ended", step="read body")
        return self._data

    def release(self) -> None:
        """Free the bytes; may be called twice."""
        self._data = None
