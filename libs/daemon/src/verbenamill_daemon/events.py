"""Numbered events; they live in the platform library for all to use."""

from verbenamill_platform.events import Event

__all__ = ('Event',)
