"""Decisions of the proxy, free of I/O."""
