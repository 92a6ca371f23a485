"""Generated protocol code and conversions."""
