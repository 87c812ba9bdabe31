"""Clients of the endpoints: engines, plain services and the old system."""
