"""Exceptions raised by wagtailfront."""

__all__ = [
    "WagtailfrontError",
    "SettingsError",
    "ProtocolError",
    "DeploymentError",
    "ConfigurationError",
]


class WagtailfrontError(Exception):
    """Base class of all exceptions raised by wagtailfront."""


class SettingsError(WagtailfrontError):
    """A flag, environment variable or key file is invalid."""


class ProtocolError(WagtailfrontError):
    """A peer sent data that violates its protocol."""


class DeploymentError(WagtailfrontError):
    """A deployment file is invalid."""


class ConfigurationError(WagtailfrontError):
    """A configuration change is invalid for the current configuration."""
