"""Whether a request is taken: limits, retry budgets, breakers, quarantine."""
