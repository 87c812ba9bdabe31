"""Benchmarks: the real decision code on a paused clock, with fakes at its ports."""
