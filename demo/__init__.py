"""The demonstration: the whole path on stand-ins, as separate processes."""
