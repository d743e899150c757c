"""Instances that form a mesh and share state through heartbeat datagrams."""
