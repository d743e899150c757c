"""Subcommands of the command line, one per module."""
