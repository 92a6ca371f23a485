"""The command line ``hibiscuspoint``."""
