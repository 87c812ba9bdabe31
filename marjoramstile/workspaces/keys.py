"""Callers' keys: read from their credentials, and kept as digests only."""

import hashlib

BEARER = "bearer"
# Characters of a digest that log lines show.
LOGGED_CHARACTERS = 12


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of a key, in hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def bearer_key(credentials: tuple[str, ...]) -> str | None:
    """Return the key in the values of a request's Authorization headers.

    None if there is none, or not exactly one, or if it is of another scheme.
    """
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(" ")
    key = key.strip()
    return key if scheme.lower() == BEARER and key else None


def logged_digest(digest: str) -> str:
    """Return the part of a digest that identifies a key in the log."""
    return digest[:LOGGED_CHARACTERS]
