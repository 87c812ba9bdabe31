"""Standard input, output and error of a process that was started without them."""

import os

STANDARD_INPUT = 0
STANDARD_OUTPUT = 1
STANDARD_ERROR = 2


def open_log_descriptor(preferred: int) -> int:
    """Return the descriptor for log lines: ``preferred``, or the other if it is closed.

    Closed ones are replaced by the null device. Otherwise a socket would get such a
    number, and what is printed would be sent to a caller.
    """
    closed = {
        descriptor
        for descriptor in (STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR)
        if _open_if_closed(descriptor)
    }
    other = STANDARD_OUTPUT + STANDARD_ERROR - preferred
    return other if preferred in closed else preferred


def _open_if_closed(descriptor: int) -> bool:
    """Return whether a descriptor was closed; the lowest free number is assigned."""
    try:
        os.fstat(descriptor)
    except OSError:
        os.open(os.devnull, os.O_RDWR)
        return True
    return False
