"""A stand-in of a database target."""
