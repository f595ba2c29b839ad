"""Signatures by which nodes know each other's calls without sending the secret."""

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from heatherhatch_core.exceptions import ErrorKind, HeatherhatchError

SIGNATURE_HEADER = "X-Signature"
SEPARATOR = ":"
WINDOW_CALLS = 1_024
SENDERS = 256
PROOF_BYTES = 16


@dataclass(frozen=True, slots=True)
class CallId:
    """What makes a signed call unique.

    Attributes:
        sender: Incarnation of the node that calls.
        target: Incarnation of the node that is called.
        number: Number of the call, unique for the sender.
    """

    sender: str
    target: str
    number: int

    def encode(self) -> str:
        """Return the call id as text."""
        return SEPARATOR.join((self.sender, self.target, str(self.number)))


class Signer:
    """Signs calls to peers and checks the answers, and the other way round.

    A call is signed over its path, body, both incarnations and a number, so that
    it can't be replayed, also not to the next start of the same node; an answer
    over its body and the call that it answers. No clock is compared.

    Args:
        secret: Shared secret of the nodes.
        own: Returns this node's incarnation.
    """

    def __init__(self, secret: str, own: Callable[[], str]):
        self.secret = secret.encode()
        self.own = own
        self.numbers = count(1)
        self.windows: OrderedDict[str, ReplayWindow] = OrderedDict()

    def sign_call(
        self, target: str, path: str, body: bytes
    ) -> tuple[CallId, tuple[tuple[str, str], ...]]:
        """Return the id of a new call and the header that proves it.

        Args:
            target: Incarnation of the node that is called.
            path: Path of the call.
            body: Content of the call.
        """
        call = CallId(self.own(), target, next(self.numbers))
        proof = self._mac("call", call, path.encode(), body)
        return call, ((SIGNATURE_HEADER, f"{call.encode()}{SEPARATOR}{proof}"),)

    def check_call(self, header: str, path: str, body: bytes) -> CallId:
        """Return the id of a call that came in.

        Raises:
            HeatherhatchError: ``UNAUTHENTICATED`` if the signature is wrong, the
                call is for another incarnation, or it came before.
        """
        call, proof = _parse(header)
        expected = self._mac("call", call, path.encode(), body)
        if not hmac.compare_digest(expected.encode(), proof.encode()):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "wrong signature")
        if call.target != self.own():
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "another incarnation")
        if not self._window(call.sender).take(call.number):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "replayed call")
        return call

    def sign_answer(self, call: CallId, body: bytes) -> str:
        """Return the header value that proves an answer."""
        return self._mac("answer", call, b"", body)

    def check_answer(self, call: CallId, header: str, body: bytes) -> None:
        """Check an answer.

        Raises:
            HeatherhatchError: ``UNAUTHENTICATED`` if it is not the answer to
                the call.
        """
        expected = self._mac("answer", call, b"", body)
        if not hmac.compare_digest(expected.encode(), header.encode()):
            raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "wrong signature")

    def _mac(self, kind, call, path, body):
        parts = (kind.encode(), call.encode().encode(), path, body)
        # Lengths keep the borders of the parts apart.
        data = b"".join(len(part).to_bytes(8, "big") + part for part in parts)
        return hmac.digest(self.secret, data, hashlib.sha256)[:PROOF_BYTES].hex()

    def _window(self, sender):
        if sender not in self.windows:
            self.windows[sender] = ReplayWindow()
        self.windows.move_to_end(sender)
        while len(self.windows) > SENDERS:
            self.windows.popitem(last=False)
        return self.windows[sender]


class ReplayWindow:
    """The numbers that one sender has used lately."""

    def __init__(self):
        self.highest = 0
        self.taken: set[int] = set()

    def take(self, number: int) -> bool:
        """Return True if a number is used for the first time."""
        if number <= self.highest - WINDOW_CALLS or number in self.taken:
            return False
        self.taken.add(number)
        if number > self.highest:
            self.highest = number
            oldest = number - WINDOW_CALLS
            if len(self.taken) > 2 * WINDOW_CALLS:
                self.taken = {item for item in self.taken if item > oldest}
        return True


def _parse(header):
    sender, _, rest = header.partition(SEPARATOR)
    target, _, rest = rest.partition(SEPARATOR)
    number, _, proof = rest.partition(SEPARATOR)
    if not (number.isascii() and number.isdigit() and len(number) < 20):
        raise HeatherhatchError(ErrorKind.UNAUTHENTICATED, "no signature")
    return CallId(sender, target, int(number)), proof
