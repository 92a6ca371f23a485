"""``hibiscuspoint exec``: runs statements through an entry."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import TYPE_CHECKING

import shtab

from hibiscuspoint.cli.command import RemoteCommand, commands
from hibiscuspoint.cli.errors import SessionFileError, UsageError, error_from_wire
from hibiscuspoint.cli.request import (
    check_results,
    parse_parameter,
    read_statements,
    request_identity,
)
from hibiscuspoint.cli.results import results_data, results_text
from hibiscuspoint.cli.session_file import SessionFile
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.verdict import Verdict
from hibiscuspoint.wire import caller_pb2, common_pb2

if TYPE_CHECKING:
    import argparse

    from hibiscuspoint.cli.client import Client

__all__ = ["ExecCommand"]

DEFAULT_CALLER = "hibiscuspoint-cli"


@commands.register("exec")
class ExecCommand(RemoteCommand):
    """Runs one statement, or a file of statements as one transaction."""

    summary = "Run a statement, or a file of statements as one transaction."
    examples = (
        "hibiscuspoint exec --group ledger 'SELECT balance FROM account WHERE id = ?' "
        "--parameter 7 --max-age-ms 1000 --connect 10.0.0.1:7400 --tls-ca ca.pem",
        "hibiscuspoint exec --group ledger --transaction transfer.sql --write --id new "
        "--session-file session.bin --connect 10.0.0.1:7400 --tls-ca ca.pem",
    )

    @classmethod
    def configure(cls, parser: argparse.ArgumentParser) -> None:
        """Add the statement and its options."""
        add = parser.add_argument
        add("statement", nargs="?", metavar="STATEMENT", help="one statement")
        add("--group", required=True, help="database group")
        add(
            "--parameter",
            action="append",
            default=[],
            type=parse_parameter,
            metavar="VALUE",
            help="parameter as a JSON value, else as text; repeat in order",
        )
        add(
            "--transaction",
            type=Path,
            metavar="FILE",
            help="one statement a line, run as one transaction; lines with '--' are comments",
        ).complete = shtab.FILE
        add(
            "--session-file",
            type=Path,
            metavar="FILE",
            help="file that keeps the session token between calls",
        ).complete = shtab.FILE
        add("--write", action="store_true", help="write; without it the request is a read")
        add("--max-age-ms", type=int, default=0, metavar="MS", help="maximum age of read data")
        add("--id", metavar="ID", help="run at most once under a UUID version 7; 'new' makes one")
        add("--caller", default=DEFAULT_CALLER, metavar="NAME", help="name of the caller")

    async def act(self, client: Client) -> int:
        """Send the request and print the result."""
        session = SessionFile(self.args.session_file)
        request = self._request(session)
        if self.args.id == "new":
            self.output.progress(f"request id {request.idempotency.id}")
        reply = await client.execute(request)
        # A refused request may still carry the marks of the session.
        unsaved = _save(session, reply.token)
        if reply.error.code:
            error = reply.error
            raise error_from_wire(
                error.code, error.message, error.hint, reply.verdict, error.rolled_back
            )
        check_results(request, reply)
        verdict = Verdict(reply.verdict).name
        self.output.result(results_data(reply, verdict), results_text(reply))
        if unsaved:
            raise SessionFileError(f"the session token was not saved: {unsaved}")
        return 0

    def _request(self, session: SessionFile) -> caller_pb2.ExecuteRequest:
        args = self.args
        self._check()
        request = caller_pb2.ExecuteRequest(
            call_id=secrets.randbits(63),
            caller=args.caller,
            group=args.group,
            token=session.load(),
            timeout_ms=int(args.timeout * MILLISECONDS_PER_SECOND),
        )
        if args.transaction is not None:
            request.statements.extend(read_statements(args.transaction))
        else:
            statement = common_pb2.Statement(sql=args.statement, parameters=args.parameter)
            request.statements.append(statement)
        if not args.write:
            request.read.max_age_ms = args.max_age_ms
        if args.id is not None:
            request.idempotency.CopyFrom(request_identity(args.id))
        return request

    def _check(self) -> None:
        """Refuse contradictory options.

        :raises UsageError: names the contradiction.
        """
        args = self.args
        if (args.statement is None) == (args.transaction is None):
            raise UsageError("exactly one of STATEMENT and --transaction is needed")
        if args.transaction is not None and args.parameter:
            raise UsageError("--parameter contradicts --transaction")
        if args.write and args.max_age_ms:
            raise UsageError("--max-age-ms contradicts --write")
        if args.id is not None and not args.write:
            raise UsageError("--id needs --write")
        if not 0 <= args.max_age_ms < 2**32 or args.timeout >= 2**32 / MILLISECONDS_PER_SECOND:
            raise UsageError("--max-age-ms and --timeout must fit into 32 bits of ms")


def _save(session: SessionFile, token: bytes) -> str:
    """Save the token and return the reason when that fails.

    The request was answered already, so the failure must not hide its result or its verdict.
    """
    try:
        session.save(token)
    except OSError as error:
        return error.strerror or str(error)
    return ""
