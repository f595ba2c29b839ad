"""Reading and writing of HTTP bodies and headers."""

import math
from typing import TypeVar

import falcon
import gevent

from heatherhatch_core.codec import MEDIA, decode_json, encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

from ..transport import request_body

Message = TypeVar("Message")
TIMEOUT_HEADER = "X-Request-Timeout"
BODY_TIMEOUT_S = 10.0
BEARER = "Bearer "


def read_body(request: falcon.Request, limit_bytes: int) -> bytes:
    """Return the body of a request.

    Raises:
        HeatherhatchError: ``TOO_LARGE`` if the body exceeds the limit,
            ``BAD_REQUEST`` if it is shorter than its Content-Length or is not
            received in time.
    """
    try:
        with gevent.Timeout(BODY_TIMEOUT_S, TimeoutError("not received in time")):
            return request_body.read_body(request.env, limit_bytes)
    except TimeoutError as error:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, f"body: {error}") from error


def read_message(
    request: falcon.Request, kind: type[Message], limit_bytes: int
) -> Message:
    """Return the typed message in a JSON body."""
    return decode_json(read_body(request, limit_bytes), kind)


def write_message(response: falcon.Response, message: object) -> None:
    """Write a typed message to the response as JSON."""
    response.content_type = MEDIA.json
    response.data = encode_json(message)


def bearer_token(request: falcon.Request) -> str:
    """Return the bearer token of the Authorization header, empty if there is none."""
    header = request.get_header("Authorization") or ""
    return header[len(BEARER) :] if header.startswith(BEARER) else ""


def read_timeout_s(request: falcon.Request) -> float:
    """Return the client's timeout in seconds, infinity if it states none.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the header is not a finite number above
            0.
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
            ErrorKind.BAD_REQUEST,
            f"{TIMEOUT_HEADER}: expected a number of seconds above 0",
        )
    return timeout_s
