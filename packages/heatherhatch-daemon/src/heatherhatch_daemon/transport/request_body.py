"""Reads the bodies of requests piece by piece, up to a limit."""

from gevent.pywsgi import Input

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

PIECE_BYTES = 4_096


class RequestBody(Input):
    """The body of a request, which is read in pieces."""

    __slots__ = ()

    def read_piece(self, most_bytes: int) -> bytes:
        """Return at least one byte of the body; nothing at its end.

        The library keeps an object for each chunk until a read is complete, so a read
        never goes beyond one chunk.

        Args:
            most_bytes: The most that may be returned.
        """
        if self.chunked_input:
            most_bytes = min(most_bytes, max(1, self.chunk_length - self.position))
        return self.read(most_bytes)


def read_body(environ: dict, limit_bytes: int) -> bytes:
    """Return the body of a request.

    Args:
        environ: WSGI environment of the request.
        limit_bytes: Size of the largest body.

    Raises:
        HeatherhatchError: ``TOO_LARGE`` if the body is larger, ``BAD_REQUEST`` if it
            ends early or its framing is malformed.
        TimeoutError: If the rest does not arrive.
    """
    body = environ["wsgi.input"]
    is_chunked = bool(environ.get("HTTP_TRANSFER_ENCODING"))
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal() or int(length) > limit_bytes:
        raise _too_large_error(f"{length} bytes")
    try:
        data = _read_pieces(body, limit_bytes)
    except TimeoutError:
        raise
    except OSError as error:
        what = "the chunks of the body" if is_chunked else "the body"
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, f"{what} cannot be read: {error}"
        ) from error
    if not is_chunked and len(data) < int(length):
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, "the body is shorter than its Content-Length"
        )
    return data


def _read_pieces(body: RequestBody, limit_bytes: int) -> bytes:
    data = bytearray()
    while piece := body.read_piece(PIECE_BYTES):
        data += piece
        if len(data) > limit_bytes:
            raise _too_large_error(f"more than {limit_bytes} bytes")
    return bytes(data)


def _too_large_error(what: str) -> HeatherhatchError:
    return HeatherhatchError(ErrorKind.TOO_LARGE, f"the body has {what}")
