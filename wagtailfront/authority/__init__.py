"""Leases, orders, configuration and claims."""
