"""Fakes of the systems that daemons connect to, on the loop's clock."""
