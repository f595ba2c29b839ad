"""Reads the bodies of requests piece by piece, up to a limit."""

import contextlib

import gevent
from gevent.pywsgi import Input

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..metrics import METER, Metric
from .body_memory import BodyCharge
from .request_stream import BUFFER_BYTES, ReceivedTooMuchError

CHARGE_VARIABLE = "heatherhatch.body_charge"  # in the environment of a request
PIECE_BYTES = 4_096
DISCARD_LIMIT_S = 1.0
DISCARD_BYTES = 16_384  # of a body that nobody reads; beyond, the connection is closed
# A chunk of one byte takes six bytes; what is beyond is extensions and trailers.
MAX_CHUNK_OVERHEAD = 8


class RequestBody(Input):
    """The body of a request, which is read in pieces.

    A long rest is not read after the answer: it may have no end.

    Attributes:
        is_broken: True if it is not known how much of it was read.
    """

    __slots__ = ("is_broken",)

    def __init__(self, *args):
        super().__init__(*args)
        self.is_broken = False

    @property
    def rest_is_short(self) -> bool:
        """True if what has not been read may be dropped to reuse the connection."""
        if self.is_broken:
            return False
        if self.chunked_input:
            return self.chunk_length == 0
        return (self.content_length or 0) - self.position <= DISCARD_BYTES

    def limit_received(self, most_bytes: float) -> None:
        """Set how much the connection may receive for this request, bytes."""
        self.rfile.raw.left_bytes = most_bytes

    def next_bytes(self, most_bytes: int) -> int:
        """Return how much to read next; 0 at the end of a body with a known length.

        The library keeps an object for each chunk until a read is complete, so a read
        never goes beyond one chunk.

        Args:
            most_bytes: The most that may be returned.
        """
        left_bytes = (self.content_length or 0) - self.position
        if self.chunked_input:
            left_bytes = max(1, self.chunk_length - self.position)
        return min(most_bytes, left_bytes)

    def read(self, length=None):
        """Return the next bytes; an error may lose some that were received."""
        try:
            return super().read(length)
        except BaseException:
            self.is_broken = True
            raise

    def _discard(self):
        if not self.rest_is_short:
            return
        with (
            contextlib.suppress(TimeoutError),
            gevent.Timeout(
                DISCARD_LIMIT_S, TimeoutError("the rest of the body did not arrive")
            ),
        ):
            super()._discard()


def read_body(environ: dict, limit_bytes: int) -> bytes:
    """Return the body of a request.

    Args:
        environ: WSGI environment of the request.
        limit_bytes: Size of the largest body.

    Raises:
        HeatherhatchError: ``TOO_LARGE`` if the body is larger, ``MEMORY_LIMIT`` if
            other bodies have the memory that it needs, ``BAD_REQUEST`` if it ends early
            or its framing is malformed.
        TimeoutError: If the rest does not arrive.
    """
    body = environ["wsgi.input"]
    is_chunked = bool(environ.get("HTTP_TRANSFER_ENCODING"))
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal() or int(length) > limit_bytes:
        raise _too_large_error(f"{length} bytes")
    if is_chunked:
        body.limit_received(MAX_CHUNK_OVERHEAD * limit_bytes + BUFFER_BYTES)
    try:
        data = _read_pieces(body, environ[CHARGE_VARIABLE], limit_bytes)
    except ReceivedTooMuchError as error:
        raise _too_large_error("chunks without an end") from error
    except TimeoutError:
        raise
    except (OSError, ValueError) as error:
        what = "the chunks of the body" if is_chunked else "the body"
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, f"{what} cannot be read: {error}"
        ) from error
    if not is_chunked and len(data) < int(length):
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, "the body is shorter than its Content-Length"
        )
    return data


def _read_pieces(body: RequestBody, charge: BodyCharge, limit_bytes: int) -> bytes:
    data = bytearray()
    while count := body.next_bytes(PIECE_BYTES):
        charge.reserve(len(data) + count)
        piece = body.read(count)
        if not piece:
            break
        data += piece
        if len(data) > limit_bytes:
            raise _too_large_error(f"more than {limit_bytes} bytes")
    return bytes(data)


def _too_large_error(what: str) -> HeatherhatchError:
    METER.sink.count(Metric.BODIES_REFUSED, label="size")
    return HeatherhatchError(ErrorKind.TOO_LARGE, f"the body has {what}")
