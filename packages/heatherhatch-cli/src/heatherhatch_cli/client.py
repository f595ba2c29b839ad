"""HTTP client of the operators' API."""

import uuid
from typing import TypeVar

from geventhttpclient import HTTPClient

from heatherhatch_core.codec import decode_json, encode_json
from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

TIMEOUT_S = 10.0
Message = TypeVar("Message")


class Client:
    """Client of one daemon.

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

    def get(self, path: str, message_type: type[Message]) -> Message:
        """Request a path and return the decoded response."""
        return self._call("GET", path, b"", message_type)

    def post(self, path: str, message: object, message_type: type[Message]) -> Message:
        """Send a message to a path and return the decoded response."""
        return self._call("POST", path, encode_json(message), message_type)

    def _call(self, method, path, body, message_type):
        headers = {"Authorization": f"Bearer {self.token}"}
        try:
            response = self.http.request(method, path, body=body, headers=headers)
            data = bytes(response.read())
        except OSError as error:
            raise HeatherhatchError(ErrorKind.CHANGE_UNKNOWN, str(error)) from error
        if response.status_code >= 400:
            raise _decode_error(data)
        return decode_json(data, message_type)


def new_change_id() -> str:
    """Return a new unique change id, which makes retries of a change idempotent."""
    return uuid.uuid4().hex


def _decode_error(data: bytes) -> HeatherhatchError:
    problem = decode_json(data, dict)
    kind = ErrorKind(problem["type"].rpartition(":")[2])
    return HeatherhatchError(kind, problem.get("detail", ""))
