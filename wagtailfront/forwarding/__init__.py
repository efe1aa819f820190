"""Forwarding of callers' requests to endpoints according to routes."""
