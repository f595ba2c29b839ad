"""One node's copy of the log of accepted changes, and its snapshot."""

import dataclasses
import hashlib
import zlib
from dataclasses import dataclass, field

from ..codec import decode_msgpack, encode_msgpack
from ..exceptions import ErrorKind, HeatherhatchError
from .changes import Change, Edit, apply_change
from .configuration import Configuration

MAX_KNOWN_CHANGES = 8_000
MAX_RECENT_CHANGES = 64
DIGEST_BYTES = 8
MAX_SNAPSHOT_BYTES = 64 * 1_048_576


@dataclass(frozen=True, slots=True)
class KnownChange:
    """Data kept of an accepted change to recognise a retry of it.

    Attributes:
        seq: Position in the log.
        digest: Digest of the edit.
    """

    seq: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class ChangeLog:
    """The result of applying the log up to one position.

    Attributes:
        config: Configuration in force.
        known: The newest accepted changes, by change id.
        recent: The newest changes in log order, for peers that do not have them.
    """

    config: Configuration = field(default_factory=Configuration)
    known: dict[str, KnownChange] = field(default_factory=dict)
    recent: tuple[Change, ...] = ()

    @property
    def seq(self) -> int:
        """Position of the last change that was applied."""
        return self.config.seq

    def apply(self, change: Change) -> "ChangeLog":
        """Return the log after a change; a change applied earlier is ignored.

        Raises:
            HeatherhatchError: ``CONFLICT`` if the change does not follow the last one.
        """
        if change.seq <= self.seq:
            return self
        config = apply_change(self.config, change)
        known = dict(self.known)
        known[change.change_id] = KnownChange(change.seq, edit_digest(change.edit))
        while len(known) > MAX_KNOWN_CHANGES:
            del known[next(iter(known))]
        recent = (*self.recent, change)[-MAX_RECENT_CHANGES:]
        return ChangeLog(config, known, recent)

    def changes_after(self, seq: int) -> tuple[Change, ...]:
        """Return the changes after a position; empty if some are no longer kept."""
        if not self.recent or self.recent[0].seq > seq + 1:
            return ()
        return tuple(change for change in self.recent if change.seq > seq)

    def accepted_seq(self, change_id: str, edit: Edit) -> int:
        """Return the log position of an accepted change, 0 if it is not known.

        Raises:
            HeatherhatchError: ``KEY_REUSED`` if the id was used for another edit.
        """
        known = self.known.get(change_id)
        if known is None:
            return 0
        if known.digest != edit_digest(edit):
            detail = f"change id {change_id!r} was already used for another edit"
            raise HeatherhatchError(ErrorKind.KEY_REUSED, detail)
        return known.seq


def edit_digest(edit: Edit) -> bytes:
    """Return a digest that distinguishes a retried edit from another edit."""
    data = encode_msgpack(edit)
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def pack_log(log: ChangeLog) -> bytes:
    """Return a log as compressed data, without its recent changes."""
    snapshot = dataclasses.replace(log, recent=())
    return zlib.compress(encode_msgpack(snapshot))


def unpack_log(data: bytes) -> ChangeLog:
    """Return the log from compressed data.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the data is not a valid log.
    """
    return decode_msgpack(unpack(data), ChangeLog)


def pack_changes(changes: tuple[Change, ...]) -> bytes:
    """Return a part of the audit trail as compressed data."""
    return zlib.compress(encode_msgpack(changes))


def unpack_changes(data: bytes) -> tuple[Change, ...]:
    """Return the changes from compressed data; see `unpack_log`."""
    return decode_msgpack(unpack(data), tuple[Change, ...])


def unpack(data: bytes) -> bytes:
    """Return decompressed data of limited size.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the data is corrupt, truncated or too
            large.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, str(error)) from error
    if not decompressor.eof:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, "compressed data is truncated or too large"
        )
    return decompressed
