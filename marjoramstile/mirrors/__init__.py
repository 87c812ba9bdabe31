"""Local copies of the store's tables, kept current by its feed or by peers."""
