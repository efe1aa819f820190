"""Connections to engines and plain services."""
