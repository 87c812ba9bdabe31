"""Stand-ins and helpers that the review's scripts share; standard library only."""
