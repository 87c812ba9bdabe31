"""The configuration that all daemons share: documents, versions, changes."""
