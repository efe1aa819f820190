"""Paths that the platform calls on an instance."""

__all__ = ["READY_PATH"]

READY_PATH = "/api/ready"
