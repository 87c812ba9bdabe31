"""Tests of the deploy file and of the build that it names."""
