"""Orders to engines with fencing numbers."""
