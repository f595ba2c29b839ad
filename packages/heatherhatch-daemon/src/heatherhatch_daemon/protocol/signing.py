"""Signatures that authenticate calls between nodes without sending the secret."""

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

SIGNATURE_HEADER = "X-Signature"
SEPARATOR = ":"
REPLAY_WINDOW_CALLS = 1_024
MAX_SENDERS = 256
SIGNATURE_BYTES = 16


@dataclass(frozen=True, slots=True)
class CallId:
    """Unique id of a signed call.

    Attributes:
        sender: Incarnation of the calling node.
        target: Incarnation of the called node.
        number: Number of the call, unique for the sender.
    """

    sender: str
    target: str
    number: int

    def encode(self) -> str:
        """Return the call id as text."""
        return SEPARATOR.join((self.sender, self.target, str(self.number)))


class Signer:
    """Signs and verifies the calls between nodes and their answers.

    The signature of a call covers its path, its body, both incarnations and a
    number, so that the call cannot be replayed, not even after the called node has
    restarted. The signature of an answer covers its body and the id of its call.
    Clocks are not compared.

    Args:
        secret: Secret shared by all nodes.
        own_incarnation: Returns the incarnation of this node.
    """

    def __init__(self, secret: str, own_incarnation: Callable[[], str]):
        self.secret = secret.encode()
        self.own_incarnation = own_incarnation
        self.numbers = count(1)
        self.windows: OrderedDict[str, ReplayWindow] = OrderedDict()

    def sign_call(
        self, target: str, path: str, body: bytes
    ) -> tuple[CallId, tuple[tuple[str, str], ...]]:
        """Return the id of a new call and the header with its signature.

        Args:
            target: Incarnation of the called node.
            path: Path of the call.
            body: Body of the call.
        """
        call = CallId(self.own_incarnation(), target, next(self.numbers))
        signature = self._mac("call", call, path.encode(), body)
        return call, ((SIGNATURE_HEADER, f"{call.encode()}{SEPARATOR}{signature}"),)

    def check_call(self, header: str, path: str, body: bytes) -> CallId:
        """Verify a received call and return its id.

        Raises:
            HeatherhatchError: ``UNAUTHENTICATED`` if the signature is wrong, the
                call is for another incarnation, or it was received before.
        """
        call, signature = _parse(header)
        expected = self._mac("call", call, path.encode(), body)
        if not hmac.compare_digest(expected.encode(), signature.encode()):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "wrong signature")
        if call.target != self.own_incarnation():
            raise HeatherhatchError(
                ErrorKind.UNAUTHENTICATED, "the call is for another incarnation"
            )
        if not self._window(call.sender).accept(call.number):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "the call was replayed")
        return call

    def sign_answer(self, call: CallId, body: bytes) -> str:
        """Return the signature of an answer, as its header value."""
        return self._mac("answer", call, b"", body)

    def check_answer(self, call: CallId, header: str, body: bytes) -> None:
        """Verify the signature of an answer.

        Raises:
            HeatherhatchError: ``UNAUTHENTICATED`` if it was not signed as the
                answer to the call.
        """
        expected = self._mac("answer", call, b"", body)
        if not hmac.compare_digest(expected.encode(), header.encode()):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "wrong signature")

    def _mac(self, kind, call, path, body):
        parts = (kind.encode(), call.encode().encode(), path, body)
        # Length prefixes make the boundaries between the parts unambiguous.
        data = b"".join(len(part).to_bytes(8, "big") + part for part in parts)
        return hmac.digest(self.secret, data, hashlib.sha256)[:SIGNATURE_BYTES].hex()

    def _window(self, sender):
        if sender not in self.windows:
            self.windows[sender] = ReplayWindow()
        self.windows.move_to_end(sender)
        while len(self.windows) > MAX_SENDERS:
            self.windows.popitem(last=False)
        return self.windows[sender]


class ReplayWindow:
    """Sliding window of the call numbers that one sender has used."""

    def __init__(self):
        self.highest = 0
        self.used_numbers: set[int] = set()

    def accept(self, number: int) -> bool:
        """Mark a number as used; return False if it was used before or is too old."""
        if number <= self.highest - REPLAY_WINDOW_CALLS or number in self.used_numbers:
            return False
        self.used_numbers.add(number)
        if number > self.highest:
            self.highest = number
            oldest = number - REPLAY_WINDOW_CALLS
            if len(self.used_numbers) > 2 * REPLAY_WINDOW_CALLS:
                self.used_numbers = {
                    item for item in self.used_numbers if item > oldest
                }
        return True


def _parse(header):
    sender, _, rest = header.partition(SEPARATOR)
    target, _, rest = rest.partition(SEPARATOR)
    number, _, signature = rest.partition(SEPARATOR)
    if not (number.isascii() and number.isdigit() and len(number) < 20):
        raise HeatherhatchError(
            ErrorKind.UNAUTHENTICATED, "missing or malformed signature"
        )
    return CallId(sender, target, int(number)), signature
