"""Limits the size of a request head and checks how it states the body's length."""


class HeadTooLargeError(ValueError):
    """A request head is larger than the limit."""


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
            HeadTooLargeError: If the head is larger than the limit.
        """
        line = self.stream.readline(min(size, self.left_bytes + 1))
        self.left_bytes -= len(line)
        if self.left_bytes < 0:
            raise HeadTooLargeError("the request head is too large")
        return line


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
