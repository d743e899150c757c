"""Finds the cause of a request's outcome from the logs of all instances."""
