"""The life of a request: placing, prefill, transfer, decode, resume, cancel, call."""
