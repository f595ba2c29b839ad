"""Generation, parsing and verification of team and operator keys."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

SECRET_BYTES = 24
KEY_ID_BYTES = 6


@dataclass(frozen=True, slots=True)
class NewKey:
    """A new key together with its secret, which is not stored.

    Attributes:
        key_id: Public part of the key.
        token: Token that the owner of the key sends, ``<key_id>.<secret>``.
        digest: Digest of the secret, which is stored.
    """

    key_id: str
    token: str
    digest: str


def new_key(prefix: str) -> NewKey:
    """Return a new random key whose id starts with a prefix."""
    key_id = f"{prefix}-{secrets.token_hex(KEY_ID_BYTES)}"
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return NewKey(key_id, f"{key_id}.{secret}", digest_of(secret))


def digest_of(secret: str) -> str:
    """Return the SHA-256 of a secret, in hexadecimal.

    An unsalted digest is sufficient, since the secrets are random and too long for
    a brute-force search.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def split_token(token: str) -> tuple[str, str]:
    """Return the key id and the secret of a token; both empty if it is malformed."""
    key_id, dot, secret = token.partition(".")
    if not dot:
        return "", ""
    return key_id, secret


def secret_matches(secret: str, digest: str) -> bool:
    """Return whether a secret matches a digest, compared in constant time."""
    return hmac.compare_digest(digest_of(secret), digest)
