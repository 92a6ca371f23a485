"""``hibiscuspoint report burn``: shows how fast service levels spend their error budget."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import TYPE_CHECKING

import shtab

from hibiscuspoint.cli.command import Command, commands
from hibiscuspoint.cli.errors import UnreachableError
from hibiscuspoint.cli.in_force import fetch_in_force
from hibiscuspoint.cli.options import add_file_argument, addresses, open_client
from hibiscuspoint.document import Document
from hibiscuspoint.telemetry.burn import WINDOWS, report
from hibiscuspoint.telemetry.page import as_html, as_json, as_text
from hibiscuspoint.telemetry.samples import SampleFile, scrape

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.telemetry.samples import Sample

__all__ = ["ReportCommand"]


@commands.register("report")
class ReportCommand(Command):
    """Scrapes counters into a file of samples and reports burn rates from it."""

    summary = "Report how fast service levels spend their error budget."
    examples = (
        "hibiscuspoint report burn --samples trial.jsonl --document trial.toml "
        "--scrape 10.0.0.1:7401,10.0.0.2:7401",
        "hibiscuspoint report burn --samples trial.jsonl --connect 10.0.0.1:7400 "
        "--tls-ca ca.pem --html burn.html",
    )

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the sources and the page."""
        parser.add_argument("kind", choices=["burn"], help="kind of report")
        parser.add_argument(
            "--samples", type=Path, required=True, metavar="FILE", help="file of samples"
        ).complete = shtab.FILE
        add_file_argument(parser, "--document", "document, in place of the one in force")
        parser.add_argument(
            "--scrape",
            type=addresses,
            default=[],
            metavar="IP:PORT[,IP:PORT]",
            help="HTTP addresses of entries to take a sample from first",
        )
        parser.add_argument(
            "--html", type=Path, metavar="FILE", help="also write a page with plots"
        ).complete = shtab.FILE

    def run(self) -> int:
        """Take samples and print the report."""
        document = self._document()
        now = time.time()
        file = SampleFile(self.args.samples)
        if self.args.scrape:
            file.append(self._scrape(now))
        # A sample before the longest window is the baseline of that window.
        samples = file.read(since=now - 2 * WINDOWS["3d"])
        if file.skipped:
            self.output.progress(f"{file.skipped} unreadable lines of samples were left out.")
        burn = report(document, samples, now)
        if self.args.html is not None:
            self.args.html.write_text(as_html(burn, document, samples), encoding="utf-8")
        self.output.result(json.loads(as_json(burn)), as_text(burn))
        return 0

    def _document(self) -> Document:
        if self.args.document is not None:
            return Document.from_file(self.args.document)
        client = open_client(self.args, self.args.connect)
        return asyncio.run(fetch_in_force(client)).document

    def _scrape(self, now: float) -> list[Sample]:
        """Return a sample of every entry that answers."""
        samples, missing = [], []
        for address in self.args.scrape:
            try:
                samples.append(scrape(address, now))
            except OSError as error:
                missing.append(f"{address}: {error}")
        if not samples:
            raise UnreachableError(f"no entry gave metrics ({'; '.join(missing)})")
        for line in missing:
            self.output.progress(f"No sample of {line}.")
        return samples
