"""Decision logic of the proxy, without I/O."""
