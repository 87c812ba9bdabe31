"""Adapter to the users' platform: translates its settings, store rows and messages.

No other package of marjoramstile uses the platform's names.
"""
