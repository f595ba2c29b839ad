"""Requests and responses of HTTP, and the error of an exchange without one."""

from dataclasses import dataclass

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request.

    Attributes:
        method: HTTP method.
        path: Path and query string.
        body: Body.
        headers: Names and values in the order in which they are sent.
    """

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, host: str) -> bytes:
        """Return the bytes to send to a host."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {host}",
            f"Content-Length: {len(self.body)}",
        ]
        lines += [f"{name}: {value}" for name, value in self.headers]
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + self.body


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Names and values in the order in which they were received.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ExchangeError(HeatherhatchError):
    """An exchange got no complete response.

    Attributes:
        sent: False only if it is certain that no byte of the request was sent.
    """

    def __init__(self, kind: ErrorKind, detail: str, sent: bool):
        super().__init__(kind, detail)
        self.sent = sent
