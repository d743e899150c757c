"""Tells from logs why a request ended as it did."""
