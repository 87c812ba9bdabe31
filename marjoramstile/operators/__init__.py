"""The operator interface: runs statements and applies configurations."""
