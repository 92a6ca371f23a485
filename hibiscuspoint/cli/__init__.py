"""The hibiscuspoint command line."""
