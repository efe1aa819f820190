"""Logs, metrics and the record of finished requests."""
