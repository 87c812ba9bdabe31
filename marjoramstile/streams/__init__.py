"""Remembers which software version began each stream, for all daemons.

See docs/design/streams.md.
"""
