"""Interface for callers."""
