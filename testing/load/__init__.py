"""Measures a fleet: added latency, processor time, memory, calls to the store."""
