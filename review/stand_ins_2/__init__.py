"""Stand-ins of databases, platform and clients for the scripts of the second review.

They use the standard library alone, so that they run with the packages of the deploy file.
"""
