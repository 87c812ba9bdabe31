"""Clients for the endpoints: engines, plain services and the old system."""
