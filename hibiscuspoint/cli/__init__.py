"""The command line ``hibiscuspoint``."""

from __future__ import annotations

import os

# gRPC reads this when it is imported. Its own lines on failed handshakes would bury the error.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
