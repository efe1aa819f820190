"""Calls to the platform that only one instance may make at a time."""
