"""Programs for developers; nothing here runs in the product."""
