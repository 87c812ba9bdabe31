"""Tests of the HTTP server parts that the fronts share."""
