"""Tests of experiments, workload and checker together, over a fake entry."""

from __future__ import annotations

import asyncio

import grpc.aio
import pytest

from hibiscuspoint.errors import ConfigurationError
from hibiscuspoint.load.experiment import Experiment, LoadModel, SystemModel
from hibiscuspoint.load.history import History, Kind
from hibiscuspoint.load.tool import run, run_experiment
from hibiscuspoint.wire import caller_pb2_grpc
from tests.load.sqlite_entry import SqliteEntry

#: Writes that create the tables.
PREPARATION = 4
WRITE_ONLY = {"read_share": 0.0, "transaction_share": 0.0}


def experiment_on(entry: SqliteEntry, **load):
    """Run a short experiment against a fake entry."""

    async def main():
        server = grpc.aio.server()
        caller_pb2_grpc.add_CallerServicer_to_server(entry, server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        try:
            system = SystemModel(entries=(f"127.0.0.1:{port}",), group_names=("g",))
            model = LoadModel(duration_s=0.5, sessions=5, keys=3, **load)
            return await run_experiment(Experiment(system=system, load=model))
        finally:
            await server.stop(0)

    return asyncio.run(main())


@pytest.mark.parametrize("rate", [0.0, 100.0])
def test_correct_database_has_no_violation(rate):
    """Statements that do not do what the checker assumes would cause false alarms."""
    result = experiment_on(SqliteEntry(), read_share=0.5, rate=rate)
    assert result.holds, result.summary
    assert result.summary["outcomes"] == {"ok": len(result.history.operations)}


@pytest.mark.parametrize("repeats", [0, 2])
def test_lost_or_repeated_request_is_found(repeats):
    """The whole chain must show a request that was lost, or ran twice."""
    entry = SqliteEntry()
    entry.repeats[PREPARATION + 1] = repeats
    result = experiment_on(entry, ledger_share=1.0, **WRITE_ONLY)
    assert result.summary["violations_by_rule"] == {"ledger": 1}


def test_rate_is_kept():
    """An open loop that runs as fast as it can would measure something else."""
    result = experiment_on(SqliteEntry(), rate=100.0)
    assert 1 <= len(result.history.operations) <= 60


def test_mix_contains_each_kind_of_operation():
    """A kind that is never generated would leave its rule unproved."""
    result = experiment_on(SqliteEntry(), read_share=0.5)
    assert {op.kind for op in result.history.operations} == set(Kind)


@pytest.mark.parametrize(
    "text",
    [
        "unknown = 1",
        "[load]\nsesions = 3",
        "[load]\nread_share = 1.5",
        '[system]\nentries = ["127.0.0.1:1"]',
        "name = [",
    ],
)
def test_invalid_experiment_is_refused(tmp_path, text):
    """A misspelled key that is ignored would run another experiment than the file describes."""
    path = tmp_path / "experiment.toml"
    path.write_text(text)
    with pytest.raises(ConfigurationError):
        run(path)


def test_empty_history_file_is_a_history(tmp_path):
    """A run without operations must still be readable."""
    path = tmp_path / "history.jsonl"
    History().write(path)
    assert History.read(path) == History()
