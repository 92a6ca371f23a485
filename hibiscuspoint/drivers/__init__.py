"""Drivers for kinds of targets."""
