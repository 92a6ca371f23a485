"""Decisions of entries and holders."""
