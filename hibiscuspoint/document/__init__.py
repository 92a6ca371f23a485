"""The document of an environment."""
