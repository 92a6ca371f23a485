"""Stand-ins of databases, platform, operator and clients for the scripts of the review."""
