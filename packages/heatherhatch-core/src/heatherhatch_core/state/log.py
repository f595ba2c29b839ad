"""The log of accepted changes as one node knows it, and its snapshot."""

import dataclasses
import hashlib
import zlib
from dataclasses import dataclass, field

from ..codec import decode_msgpack, encode_msgpack
from ..exceptions import ErrorKind, HeatherhatchError
from .changes import Change, Edit, apply_change
from .configuration import Configuration

REMEMBERED_CHANGES = 8_000
RECENT_CHANGES = 64
DIGEST_BYTES = 8
SNAPSHOT_BYTES = 64 * 1_048_576


@dataclass(frozen=True, slots=True)
class KnownChange:
    """An accepted change as far as resends need it.

    Attributes:
        seq: Position in the log.
        digest: Short digest of the edit.
    """

    seq: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class ChangeLog:
    """The fold of the log up to one position.

    Attributes:
        config: Configuration in force.
        known: Accepted changes by change id, the newest ones.
        recent: The newest changes in order, for peers that lack them.
    """

    config: Configuration = field(default_factory=Configuration)
    known: dict[str, KnownChange] = field(default_factory=dict)
    recent: tuple[Change, ...] = ()

    @property
    def seq(self) -> int:
        """Position of the last change that is folded in."""
        return self.config.seq

    def apply(self, change: Change) -> "ChangeLog":
        """Return the log after a change; one that is folded in is ignored.

        Raises:
            HeatherhatchError: ``CONFLICT`` if the change would leave a hole.
        """
        if change.seq <= self.seq:
            return self
        config = apply_change(self.config, change)
        known = dict(self.known)
        known[change.change_id] = KnownChange(change.seq, edit_digest(change.edit))
        while len(known) > REMEMBERED_CHANGES:
            del known[next(iter(known))]
        recent = (*self.recent, change)[-RECENT_CHANGES:]
        return ChangeLog(config, known, recent)

    def after(self, seq: int) -> tuple[Change, ...]:
        """Return the changes after a position; none if some are not kept."""
        if not self.recent or self.recent[0].seq > seq + 1:
            return ()
        return tuple(change for change in self.recent if change.seq > seq)

    def accepted(self, change_id: str, edit: Edit) -> int:
        """Return the position of an accepted change, 0 if it is not known.

        Raises:
            HeatherhatchError: ``KEY_REUSED`` if the id belongs to another edit.
        """
        known = self.known.get(change_id)
        if known is None:
            return 0
        if known.digest != edit_digest(edit):
            detail = f"change {change_id!r} was accepted with another content"
            raise HeatherhatchError(ErrorKind.KEY_REUSED, detail)
        return known.seq


def edit_digest(edit: Edit) -> bytes:
    """Return a short digest by which a resent edit is told from another one."""
    data = encode_msgpack(edit)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def pack_log(log: ChangeLog) -> bytes:
    """Return a log as compressed bytes, for the store and for peers."""
    kept = dataclasses.replace(log, recent=())
    return zlib.compress(encode_msgpack(kept))


def unpack_log(data: bytes) -> ChangeLog:
    """Return the log in compressed bytes.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if they hold none.
    """
    return decode_msgpack(unpack(data), ChangeLog)


def pack_changes(changes: tuple[Change, ...]) -> bytes:
    """Return a part of the audit trail as compressed bytes."""
    return zlib.compress(encode_msgpack(changes))


def unpack_changes(data: bytes) -> tuple[Change, ...]:
    """Return the changes in compressed bytes; see `unpack_log`."""
    return decode_msgpack(unpack(data), tuple[Change, ...])


def unpack(data: bytes) -> bytes:
    """Return decompressed bytes, never more than a bound.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the data is damaged or too large.
    """
    expander = zlib.decompressobj()
    try:
        whole = expander.decompress(data, SNAPSHOT_BYTES)
    except zlib.error as error:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, str(error)) from error
    if not expander.eof:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, "the data is cut or too large")
    return whole
