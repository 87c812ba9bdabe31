"""Tests of the completions front."""
