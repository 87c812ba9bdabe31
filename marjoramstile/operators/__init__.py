"""The operators' side: statements in, tables and versions out."""
