"""Tests of the circuits security."""
