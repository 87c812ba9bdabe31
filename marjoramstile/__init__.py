"""Router for separate prefill and decode pools."""

__version__ = "0.1.0"
