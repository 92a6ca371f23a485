"""Tests of the circuits components."""
