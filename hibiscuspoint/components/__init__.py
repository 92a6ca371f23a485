"""Circuits components that join the core to the network."""
