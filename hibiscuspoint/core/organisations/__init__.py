"""Organisations: the customers that callers belong to, with their keys and limits."""

from __future__ import annotations

from hibiscuspoint.core.organisations.directory import (
    KeyHash,
    Organisation,
    OrganisationDirectory,
    RateLimit,
    hash_key,
)

__all__ = ["KeyHash", "Organisation", "OrganisationDirectory", "RateLimit", "hash_key"]
