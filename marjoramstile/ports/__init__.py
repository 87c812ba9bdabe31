"""Ports of the platform's services and their HTTP clients."""
