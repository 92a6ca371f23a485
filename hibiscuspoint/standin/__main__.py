"""Allow ``python -m hibiscuspoint.standin``."""

from __future__ import annotations

from hibiscuspoint.standin.main import main

main()
