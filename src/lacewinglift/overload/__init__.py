"""Decisions while a service has less capacity than its callers demand."""
