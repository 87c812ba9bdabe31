"""Operators' queries that daemons pass on to each other, as JSON."""

import json
from typing import Any

# Longest query, in characters; each value in it may take a hundred times its bytes.
QUERY_MAX = 1024


def decode_query(request: str) -> dict[str, Any]:
    """Return the query of another daemon; raises ValueError if it can't be one."""
    if len(request) > QUERY_MAX:
        raise ValueError(f"a query has {len(request)} characters")
    query = json.loads(request)
    if not isinstance(query, dict):
        raise ValueError("a query is no object")
    return query
