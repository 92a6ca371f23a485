"""``hibiscuspoint promote``: takes the document in force in one environment to another."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import TYPE_CHECKING

import shtab

from hibiscuspoint.cli.command import Command, commands
from hibiscuspoint.cli.errors import PromotionRefusedError, UsageError
from hibiscuspoint.cli.in_force import fetch_document, fetch_in_force
from hibiscuspoint.cli.options import add_wait_options, addresses, open_client
from hibiscuspoint.cli.submission import submit
from hibiscuspoint.cli.waiting import LIVE_MS
from hibiscuspoint.document import Document, promoted
from hibiscuspoint.telemetry.burn import levels_of, report
from hibiscuspoint.telemetry.samples import SampleFile

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client
    from hibiscuspoint.cli.in_force import InForce
    from hibiscuspoint.telemetry.samples import Sample
    from hibiscuspoint.wire import peer_pb2

__all__ = ["PromoteCommand", "burn_problems", "trial_problems"]

#: Three days of samples, the longest window of the burn report.
SAMPLE_SECONDS = 259_200.0


@commands.register("promote")
class PromoteCommand(Command):
    """Submits the very document that is in force in trial, with the next number of production."""

    summary = "Take the document in force in one environment to another one."
    examples = (
        "hibiscuspoint promote --from trial --to production --from-connect 10.0.0.1:7400 "
        "--to-connect 10.1.0.1:7400 --samples trial.jsonl --tls-ca ca.pem --wait",
    )

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add both environments and the samples."""
        for flag, text in (("from", "source environment"), ("to", "destination environment")):
            parser.add_argument(f"--{flag}", dest=f"{flag}_environment", required=True, help=text)
            parser.add_argument(
                f"--{flag}-connect",
                type=addresses,
                required=True,
                metavar="IP:PORT[,IP:PORT]",
                help=f"instances of the {text}",
            )
        text = "samples of the source environment, from 'report burn'"
        parser.add_argument("--samples", type=Path, metavar="FILE", help=text).complete = shtab.FILE
        add_wait_options(parser, "return when every live instance reports the number")

    def run(self) -> int:
        """Check the conditions and submit."""
        source = open_client(self.args, self.args.from_connect)
        destination = open_client(self.args, self.args.to_connect)
        return asyncio.run(self._promote(source, destination))

    async def _promote(self, source: Client, destination: Client) -> int:
        in_force = await fetch_in_force(source)
        _expect_environment(in_force.status, self.args.from_environment, "--from-connect")
        status = await destination.status()
        _expect_environment(status, self.args.to_environment, "--to-connect")
        if await self._is_done(destination, status, in_force.document):
            return 0
        samples = self._samples(in_force.document)
        problems = trial_problems(in_force, time.time())
        problems += burn_problems(in_force.document, samples, time.time())
        if problems:
            raise PromotionRefusedError(f"the promotion is refused: {'; '.join(problems)}")
        number = status.document_number + 1
        text = promoted(in_force.document, self.args.to_environment, number)
        await submit(destination, Document.from_text(text), self.args, self.output)
        return 0

    async def _is_done(
        self, destination: Client, status: peer_pb2.StatusReply, document: Document
    ) -> bool:
        """Tell whether an earlier call already promoted the document, and submit it again.

        The repeated submission waits for the instances in the same way as the first one.
        """
        number = status.document_number
        if number == 0:
            return False
        current, _ = await fetch_document(destination, number)
        wanted = Document.from_text(promoted(document, self.args.to_environment, number))
        if current.digest != wanted.digest:
            return False
        await submit(destination, current, self.args, self.output)
        return True

    def _samples(self, document: Document) -> list[Sample]:
        if not levels_of(document):
            return []
        if self.args.samples is None:
            raise UsageError(
                "the document states service levels; --samples is needed to check them",
                hint="Collect samples with 'hibiscuspoint report burn --scrape'.",
            )
        return SampleFile(self.args.samples).read(since=time.time() - SAMPLE_SECONDS)


def _expect_environment(status: peer_pb2.StatusReply, name: str, option: str) -> None:
    if status.environment != name:
        raise UsageError(
            f"the instances of {option} belong to {status.environment!r}, not to {name!r}"
        )


def trial_problems(in_force: InForce, now: float) -> list[str]:
    """Return why the document was not in force long enough.

    :param now: Unix time in seconds.
    """
    problems = []
    age = now - in_force.accepted_at
    needed = in_force.document.promotion.minimum_age_seconds
    if age < needed:
        problems.append(f"document accepted {max(age, 0.0):.0f} s ago, {needed} s are needed")
    behind = [
        item.instance
        for item in in_force.status.instances
        if item.silent_ms < LIVE_MS and item.document_number != in_force.document.number
    ]
    if behind:
        problems.append(f"document not in force on {', '.join(sorted(behind))}")
    return problems


def burn_problems(document: Document, samples: list[Sample], now: float) -> list[str]:
    """Return the service levels that burn too fast or have no samples of the last hour.

    :param now: Unix time in seconds.
    """
    problems = []
    limit = document.promotion.max_burn_rate
    for level in report(document, samples, now).levels:
        name = f"{level.group} {level.level}"
        rate = level.window("1h").rate
        if rate is None:
            problems.append(f"{name} has no samples of the last hour")
        elif rate > limit:
            problems.append(f"{name} burns at {rate:.2f}, above {limit:g}")
        elif level.pages:
            problems.append(f"{name} would page")
    return problems
