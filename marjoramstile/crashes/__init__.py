"""Finds contents and parts of prompts that crash replicas, and keeps them out.

The knowledge is one for all daemons. See docs/design/crashes.md.
"""
