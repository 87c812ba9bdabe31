"""Admission control: workspace limits, retry budgets, circuit breakers, quarantine."""
