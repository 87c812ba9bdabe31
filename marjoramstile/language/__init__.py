"""The operators' language: queries, configuration changes and engine orders."""
