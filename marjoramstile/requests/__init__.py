"""Request execution: placement, prefill, transfer, decode, resume, cancel, calls."""
