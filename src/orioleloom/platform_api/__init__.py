"""HTTP client of the platform's table and member list."""

from orioleloom.platform_api._client import PlatformClient

__all__ = ['PlatformClient']
