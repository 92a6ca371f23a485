"""Decisions of the control leader."""
