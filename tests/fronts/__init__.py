"""Tests of the HTTP server code that the fronts share."""
