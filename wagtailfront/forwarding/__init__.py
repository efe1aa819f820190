"""Forwarding of callers' requests to endpoints by a table of routes."""
