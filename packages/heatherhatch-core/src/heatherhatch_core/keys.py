"""Keys of teams and operators: how they are made, written and checked."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

SECRET_BYTES = 24
KEY_ID_BYTES = 6


@dataclass(frozen=True, slots=True)
class NewKey:
    """A key at the one moment when its secret is known.

    Attributes:
        key_id: Public part.
        token: What its holder presents, ``<key_id>.<secret>``.
        digest: What is stored.
    """

    key_id: str
    token: str
    digest: str


def new_key(prefix: str) -> NewKey:
    """Return a fresh random key whose id starts with a prefix."""
    key_id = f"{prefix}-{secrets.token_hex(KEY_ID_BYTES)}"
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return NewKey(key_id, f"{key_id}.{secret}", digest_of(secret))


def digest_of(secret: str) -> str:
    """Return the SHA-256 of a secret, in hexadecimal.

    Secrets are random and long, so that a plain digest can't be searched.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def split_token(token: str) -> tuple[str, str]:
    """Return the key id and the secret of a token; both empty if malformed."""
    key_id, dot, secret = token.partition(".")
    if not dot:
        return "", ""
    return key_id, secret


def secret_matches(secret: str, digest: str) -> bool:
    """Tell whether a secret has a digest, in constant time."""
    return hmac.compare_digest(digest_of(secret), digest)
