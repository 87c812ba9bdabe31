"""Adapter to the users' platform: translates its settings, store, and messages.

Nothing outside this package knows the platform's names.
"""
