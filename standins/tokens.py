"""Deterministic tokens, so that any caller can check an answer for completeness."""

import hashlib

VOCABULARY = 5000


def token_text(prompt: str, position: int) -> str:
    """Return the token that every engine produces for a prompt at a position."""
    digest = hashlib.blake2b(f"{position}|{prompt}".encode(), digest_size=4).digest()
    return f"w{int.from_bytes(digest, 'big') % VOCABULARY} "


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt."""
    return "".join(token_text(prompt, position) for position in range(max_tokens))
