"""Benchmarks of the measures of the design page: ``python -m benchmarks NAME [--check]``."""
