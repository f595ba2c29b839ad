"""Reading and writing of typed HTTP bodies."""

import math
from typing import TypeVar

import falcon
import gevent

from heatherhatch_core.codec import MEDIA, decode_json, encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

Message = TypeVar("Message")
TIMEOUT_HEADER = "X-Request-Timeout"
BODY_S = 10.0
BEARER = "Bearer "


def read_body(request: falcon.Request, limit_bytes: int) -> bytes:
    """Return a request's body.

    Raises:
        HeatherhatchError: ``TOO_LARGE`` if it is above the limit,
            ``BAD_REQUEST`` if it ends before its stated length.
    """
    length = request.content_length
    if length is not None and length > limit_bytes:
        raise HeatherhatchError(ErrorKind.TOO_LARGE, f"above {limit_bytes} bytes")
    # Only the raw stream of the server knows the end of a chunked body.
    stream = request.bounded_stream if length is not None else request.stream
    try:
        with gevent.Timeout(BODY_S, OSError("the body came too slowly")):
            body = stream.read(limit_bytes + 1)
    except OSError as error:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, f"body: {error}") from error
    if len(body) > limit_bytes:
        raise HeatherhatchError(ErrorKind.TOO_LARGE, f"above {limit_bytes} bytes")
    if length is not None and len(body) != length:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, "the body is cut short")
    return body


def read_message(
    request: falcon.Request, kind: type[Message], limit_bytes: int
) -> Message:
    """Return the typed message in a JSON body."""
    return decode_json(read_body(request, limit_bytes), kind)


def write_message(response: falcon.Response, message: object) -> None:
    """Make a typed message the answer, as JSON."""
    response.content_type = MEDIA.json
    response.data = encode_json(message)


def bearer_token(request: falcon.Request) -> str:
    """Return the token of the Authorization header, or an empty text."""
    header = request.get_header("Authorization") or ""
    return header[len(BEARER) :] if header.startswith(BEARER) else ""


def read_timeout_s(request: falcon.Request) -> float:
    """Return the seconds that the client waits, infinity if it does not say.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if they are no number above 0.
    """
    text = request.get_header(TIMEOUT_HEADER)
    if text is None:
        return math.inf
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s < math.inf:
        raise HeatherhatchError(
            ErrorKind.BAD_REQUEST, f"{TIMEOUT_HEADER}: expected seconds above 0"
        )
    return timeout_s
