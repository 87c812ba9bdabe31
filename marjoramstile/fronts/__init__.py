"""HTTP server parts that the fronts share: connections, bodies, buffers, responses."""
