"""Durable files in the data directory of an instance."""
