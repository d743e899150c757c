"""Runs a fleet of instances against stand-ins, on this machine."""
