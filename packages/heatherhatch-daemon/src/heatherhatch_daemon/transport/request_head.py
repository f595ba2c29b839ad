"""Checks that a request head is complete, not too large and clear."""

SUPPORTED_VERSIONS = "HTTP/1."


class HeadTooLargeError(ValueError):
    """A request head is larger than the limit."""


class HeadCutOffError(ValueError):
    """The connection ended within a request head."""


class HeadReader:
    """Reads the lines of one request head up to a limit on their total size.

    Args:
        stream: Stream that the head is read from.
        limit_bytes: Size of the largest accepted head, in bytes.
    """

    def __init__(self, stream, limit_bytes: int):
        self.stream = stream
        self.left_bytes = limit_bytes

    def readline(self, size: int = -1) -> bytes:
        """Return the next line.

        Raises:
            HeadCutOffError: If the connection ends within the head.
            HeadTooLargeError: If the head is larger than the limit.
        """
        line_bytes = min(size, self.left_bytes + 1)
        line = self.stream.readline(line_bytes)
        self.left_bytes -= len(line)
        if self.left_bytes < 0:
            raise HeadTooLargeError("the request head is too large")
        if not line.endswith(b"\n") and len(line) < line_bytes:
            raise HeadCutOffError("the connection ended within the headers")
        return line


def check_request_line(line: str) -> None:
    """Check that a request line is complete and names a version of HTTP.

    The library takes a line of two words for HTTP/0.9, also if it is the beginning of
    a longer one (RFC 9112, section 3).

    Args:
        line: Request line with its line end.

    Raises:
        HeadCutOffError: If the connection ended within the line.
        ValueError: If the line has no version of HTTP that is served.
    """
    if not line.endswith("\n"):
        raise HeadCutOffError("the connection ended within the request line")
    words = line.split()
    if len(words) != 3 or not words[2].startswith(SUPPORTED_VERSIONS):
        raise ValueError("the request line is not: method, target, HTTP/1 version")


def check_framing(lengths: list[str], encodings: list[str]) -> None:
    """Check that the length of a request body is stated once and clearly.

    Another recipient of the same bytes may find another end of such a body, and take
    the rest for a request (RFC 9112, section 6.3).

    Args:
        lengths: Values of the Content-Length headers.
        encodings: Values of the Transfer-Encoding headers.

    Raises:
        ValueError: If the length is ambiguous or cannot be read.
    """
    if len(lengths) + len(encodings) > 1:
        raise ValueError("the length of the body is stated more than once")
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        raise ValueError("Content-Length is not a number")
    if encodings and encodings[0].lower() != "chunked":
        raise ValueError("Transfer-Encoding is not supported")
