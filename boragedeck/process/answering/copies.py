"""Copies of other routers' answers, kept so that answers survive their owners."""

from collections import OrderedDict

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.exceptions import PeerRefusedError
from boragedeck.process.timers import TimerService
from boragedeck.request.answer import AnswerKey, Chunk, Epoch, Finish
from boragedeck.request.copy_messages import (
    ClaimAnswer,
    Claimed,
    CopyAppend,
    CopyAppended,
    CopyImage,
    CopyItem,
    CopyStatus,
    Found,
    SeizeCopy,
)

__all__ = ["CopyStore"]

MAX_COPIES = 20_000
MAX_COPY_BYTES = 256 * 1024 * 1024
IDLE_RETENTION_S = 300.0
"""How long a copy is kept after the last update from its owner."""
FINISHED_RETENTION_S = 120.0
CLAIM_TTL_S = 120.0
MAX_CLAIMS = 50_000
SWEEP_INTERVAL_S = 5.0
CHUNK_OVERHEAD_BYTES = 120
IMAGE_OVERHEAD_BYTES = 2_000
TOKEN_ID_BYTES = 36


class _Copy:
    def __init__(self, image: CopyImage, now: float):
        self.image = image
        self.chunks: list[Chunk] = list(image.chunks)
        self.lineage: list[Epoch] = list(image.lineage)
        self.finish: Finish | None = image.finish
        self.owner: Address = image.owner
        self.prompt_ids = image.prompt_ids
        self.version = image.version
        self.upstream_url = image.upstream_url
        self.updated_at = now
        self.size_bytes = _image_bytes(image)

    @property
    def epoch(self) -> Epoch:
        return self.lineage[-1]

    @property
    def end(self) -> int:
        return self.chunks[-1].end if self.chunks else 0

    def to_image(self) -> CopyImage:
        return msgspec.structs.replace(
            self.image,
            lineage=tuple(self.lineage),
            chunks=tuple(self.chunks),
            finish=self.finish,
            owner=self.owner,
            prompt_ids=self.prompt_ids,
            version=self.version,
            upstream_url=self.upstream_url,
        )


class _Claim(msgspec.Struct, frozen=True):
    owner: Address
    until: float


class CopyStore:
    """Stores copies, bounded in number, memory and age.

    Parameters
    ----------
    timers : TimerService
        The source of time; triggers the removal of old copies.
    max_bytes : int
        Approximate limit of the copies' memory, in bytes.

    Notes
    -----
    A copy accepts tokens only from the owner of its epoch, and only if they directly
    follow the tokens that it has. A router that seizes the copy raises its epoch, so
    that a previous owner that was paused meanwhile can't append any more.
    """

    def __init__(self, timers: TimerService, max_bytes: int = MAX_COPY_BYTES):
        self._timers = timers
        self._max_bytes = max_bytes
        self._copies: OrderedDict[AnswerKey, _Copy] = OrderedDict()
        self._claims: OrderedDict[AnswerKey, _Claim] = OrderedDict()
        self._used_bytes = 0
        timers.subscribe(SWEEP_INTERVAL_S, self.sweep)

    def __len__(self) -> int:
        return len(self._copies)

    def append(self, message: CopyAppend) -> CopyAppended:
        """Store images and items from owners; return statuses as in `CopyAppended`."""
        statuses = [self._store(image) for image in message.images]
        statuses += [self._extend(item) for item in message.items]
        return CopyAppended(tuple(statuses))

    def find(self, key: AnswerKey) -> Found | None:
        """Return the state of an answer's copy, or None if there is no copy."""
        copy = self._copies.get(key)
        if copy is None:
            return None
        return Found(
            is_owner=False,
            epoch=copy.epoch,
            end=copy.end,
            body_hash=copy.image.spec.body_hash,
            owner=copy.owner,
            is_finished=copy.finish is not None,
        )

    def seize(self, message: SeizeCopy) -> CopyImage:
        """Raise a copy's epoch for a new owner and return the copy.

        Raises
        ------
        PeerRefusedError
            If the copy is gone, or another router has seized it.
        """
        copy = self._copies.get(message.key)
        if copy is None:
            raise PeerRefusedError("no copy", step="seize copy", peer=str(message.key))
        if copy.finish is not None:
            return copy.to_image()
        if copy.epoch != message.seen:
            raise PeerRefusedError(
                f"epoch is {copy.epoch.number}, not {message.seen.number}",
                step="seize copy",
                peer=str(message.key),
            )
        copy.lineage.append(Epoch(copy.epoch.number + 1, message.tag, copy.end))
        copy.owner = message.owner
        copy.updated_at = self._timers.now()
        return copy.to_image()

    def claim(self, message: ClaimAnswer) -> Claimed:
        """Grant a new answer's id to the first router that claims it."""
        now = self._timers.now()
        claim = self._claims.get(message.key)
        if claim is None or claim.until <= now:
            claim = _Claim(message.owner, now + CLAIM_TTL_S)
            self._claims[message.key] = claim
            self._claims.move_to_end(message.key)
            if len(self._claims) > MAX_CLAIMS:
                self._claims.popitem(last=False)
        return Claimed(claim.owner)

    def sweep(self) -> None:
        """Remove copies past their retention time, and expired claims."""
        now = self._timers.now()
        for key, copy in list(self._copies.items()):
            retention_s = (
                FINISHED_RETENTION_S if copy.finish is not None else IDLE_RETENTION_S
            )
            if now - copy.updated_at > retention_s:
                self._drop(key)
        while self._claims and next(iter(self._claims.values())).until <= now:
            self._claims.popitem(last=False)

    def _store(self, image: CopyImage) -> CopyStatus:
        copy = self._copies.get(image.key)
        if copy is not None and not _may_replace(copy.lineage, image.lineage):
            return CopyStatus.STALE
        if copy is not None and copy.epoch == image.lineage[-1]:
            # A repeated image may lack tokens that were appended after it was sent.
            if copy.end > (image.chunks[-1].end if image.chunks else 0):
                return CopyStatus.STORED
        if not self._make_room(_image_bytes(image)):
            return CopyStatus.FULL
        self._drop(image.key)
        copy = _Copy(image, self._timers.now())
        self._copies[image.key] = copy
        self._used_bytes += copy.size_bytes
        return CopyStatus.STORED

    def _extend(self, item: CopyItem) -> CopyStatus:
        copy = self._copies.get(item.key)
        if copy is None:
            return CopyStatus.MISSING
        if copy.epoch != item.epoch:
            is_newer = item.epoch.number > copy.epoch.number
            return CopyStatus.MISSING if is_newer else CopyStatus.STALE
        if item.start > len(copy.chunks):
            return CopyStatus.MISSING
        new_chunks = item.chunks[len(copy.chunks) - item.start :]
        copy.chunks.extend(new_chunks)
        copy.finish = copy.finish or item.finish
        if item.prompt_ids is not None:
            copy.prompt_ids = item.prompt_ids
            copy.version = item.version
        if item.upstream_url is not None:
            copy.upstream_url = item.upstream_url
        copy.updated_at = self._timers.now()
        added_bytes = sum(map(_chunk_bytes, new_chunks))
        copy.size_bytes += added_bytes
        self._used_bytes += added_bytes
        return CopyStatus.STORED

    def _make_room(self, size_bytes: int) -> bool:
        for key in [key for key, copy in self._copies.items() if copy.finish]:
            if self._fits(size_bytes):
                return True
            self._drop(key)
        return self._fits(size_bytes)

    def _fits(self, size_bytes: int) -> bool:
        has_free_entry = len(self._copies) < MAX_COPIES
        return has_free_entry and self._used_bytes + size_bytes <= self._max_bytes

    def _drop(self, key: AnswerKey) -> None:
        copy = self._copies.pop(key, None)
        if copy is not None:
            self._used_bytes -= copy.size_bytes


def _may_replace(old: list[Epoch], new: tuple[Epoch, ...]) -> bool:
    if new[-1].number == old[-1].number:
        return new[-1] == old[-1]
    return new[-1].number > old[-1].number


def _chunk_bytes(chunk: Chunk) -> int:
    ids = TOKEN_ID_BYTES * len(chunk.token_ids)
    return CHUNK_OVERHEAD_BYTES + len(chunk.text) + ids


def _image_bytes(image: CopyImage) -> int:
    prompt = len(image.spec.prompt.content) + TOKEN_ID_BYTES * len(
        image.prompt_ids or ()
    )
    return IMAGE_OVERHEAD_BYTES + prompt + sum(map(_chunk_bytes, image.chunks))
