"""Size of requests in pieces, the unit in which KV cache memory is allocated."""

PIECE_TOKENS = 2048


def pieces_needed(prompt_tokens: int, output_tokens: int) -> int:
    """Return the number of pieces that a prompt and its output occupy, at least 1."""
    return max(1, -(-(prompt_tokens + output_tokens) // PIECE_TOKENS))
