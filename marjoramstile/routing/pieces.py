"""KV cache memory is allocated in pieces; requests are sized in them."""

PIECE_TOKENS = 2048


def pieces_needed(prompt_tokens: int, output_tokens: int) -> int:
    """Return the pieces that a prompt and its output will occupy."""
    return max(1, -(-(prompt_tokens + output_tokens) // PIECE_TOKENS))
