"""Paths that the platform requests from an instance."""

__all__ = ["READY_PATH"]

READY_PATH = "/api/ready"
