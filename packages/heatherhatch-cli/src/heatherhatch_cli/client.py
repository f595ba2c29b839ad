"""Client of the operators' API."""

import uuid
from typing import TypeVar

from geventhttpclient import HTTPClient

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

TIMEOUT_S = 10.0
Message = TypeVar("Message")


class Client:
    """Talks to one daemon.

    Args:
        address: ``host:port`` of a daemon's operators' API.
        token: Operator key.
    """

    def __init__(self, address: str, token: str):
        host, _, port = address.rpartition(":")
        self.token = token
        self.http = HTTPClient(
            host, int(port), connection_timeout=TIMEOUT_S, network_timeout=TIMEOUT_S
        )

    def get(self, path: str, kind: type[Message]) -> Message:
        """Return a message that the daemon shows."""
        return self._call("GET", path, b"", kind)

    def post(self, path: str, message: object, kind: type[Message]) -> Message:
        """Send a message and return the answer."""
        return self._call("POST", path, encode_json(message), kind)

    def _call(self, method, path, body, kind):
        headers = {"Authorization": f"Bearer {self.token}"}
        try:
            answer = self.http.request(method, path, body=body, headers=headers)
            data = bytes(answer.read())
        except OSError as error:
            raise HeatherhatchError(ErrorKind.CHANGE_UNKNOWN, str(error)) from error
        if answer.status_code >= 400:
            raise _error_of(data)
        return decode_json(data, kind)


def new_change_id() -> str:
    """Return an id that makes resends of a change safe."""
    return uuid.uuid4().hex


def _error_of(data: bytes) -> HeatherhatchError:
    problem = decode_json(data, dict)
    kind = ErrorKind(problem["type"].rpartition(":")[2])
    return HeatherhatchError(kind, problem.get("detail", ""))
