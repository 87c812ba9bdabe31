"""The callers' side: HTTP requests in, answers out."""
