"""Hedged requests: a second target is asked when the first one is late."""
