"""The upstream beside this daemon: announcements, slots and limits."""
