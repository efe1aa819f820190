"""Servers that read requests and write their responses."""
