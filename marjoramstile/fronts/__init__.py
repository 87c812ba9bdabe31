"""HTTP server code that the fronts share: connections, bodies, buffers, responses."""
