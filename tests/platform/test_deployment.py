"""End-to-end tests with real processes against a stand-in of the platform."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys

import pytest

from tests.platform.builders import tenant_fields
from tests.platform.deployment import Client, deployment

pytestmark = pytest.mark.xdist_group("platform")


def test_sessions_survive_the_loss_of_a_primary(tmp_path):
    """Guards against lost commits and a permanent outage after a crash of the primary."""

    async def scenario():
        async with deployment(tmp_path, "77.1") as running:
            client = await Client.open(running.callers_address(0))
            await client.run("PREPARE w WRITE q1")
            assert (await client.run("EXECUTE w item first"))[0].startswith("COMPLETE i-0")
            old = running.platform.primary
            written = list(old.writes)
            await old.crash()
            await running.serve(1, "WRITE other second")
            assert running.platform.primary is not old
            assert running.platform.primary.writes[: len(written)] == written
            assert (await client.run("READ item"))[0] == "ROW first"
            tokens = [token for _, token in running.platform.promotions]
            assert tokens == sorted(tokens)

    asyncio.run(scenario())


def test_leaving_primary_hands_over(tmp_path):
    """Guards against a planned shutdown of a primary that fails transactions like a crash."""

    async def scenario():
        async with deployment(tmp_path, "77.2") as running:
            old = running.platform.primary
            client = await Client.open(running.callers_address(0))
            await client.run("BEGIN")
            await client.run("WRITE item first")
            old.state = "draining"
            await asyncio.sleep(0.5)
            assert not (await client.run("COMMIT"))[0].startswith("ERROR")
            await running.wait_for_another_primary(old)
            assert (await running.serve(1, "READ item"))[0] == "ROW first"

    asyncio.run(scenario())


def test_reload_keeps_serving(tmp_path):
    """Guards against a process that SIGHUP terminates instead of reloading its settings.

    Found on scale-2 of kovacik-zaloha.
    """

    async def scenario():
        async with deployment(tmp_path, "77.3") as running:
            client = await Client.open(running.callers_address(0))
            running.write_settings(0, seeds=(2, 1))
            running.send_signal(0, signal.SIGHUP)
            await asyncio.sleep(0.3)
            assert (await client.run("READ item"))[0] == "ROW none"
            reloads = [e for e in running.events(0) if e.get("event") == "settings-reloaded"]
            assert len(reloads) == 1
            assert "seeds" in reloads[0]["changed"]

    asyncio.run(scenario())


def test_stop_lets_transactions_end(tmp_path):
    """Guards against a planned stop that interrupts a transaction."""

    async def scenario():
        async with deployment(tmp_path, "77.4") as running:
            client = await Client.open(running.callers_address(2))
            await client.run("BEGIN")
            await client.run("WRITE item first")
            running.send_signal(2, signal.SIGTERM)
            await asyncio.sleep(2.5)
            assert not (await client.run("COMMIT"))[0].startswith("ERROR")
            assert await asyncio.to_thread(running.wait, 2) == 0

    asyncio.run(scenario())


def test_control_is_found_through_seeds_without_a_disk(tmp_path):
    """Guards against a permanent outage after a restart of all instances.

    Found on scale-2 of kovacik-zaloha: the seeds in the settings had been replaced by machines
    without a disk, which have no control log.
    """

    async def scenario():
        async with deployment(tmp_path, "77.5", disks=1) as running:
            for number in range(3):
                running.send_signal(number, signal.SIGKILL)
                await asyncio.to_thread(running.wait, number)
            for number in range(3):
                running.start_instance(number, seeds=(1, 2))
            await running.wait_until_ready()
            assert (await running.read_configuration())["version"] == 8

    asyncio.run(scenario())


def test_accepted_configuration_survives_a_restart_of_all(tmp_path):
    """Guards against the return of an older configuration after all processes were killed."""

    async def scenario():
        async with deployment(tmp_path, "77.6") as running:
            for _ in range(5):
                await running.configure()
            for number in range(3):
                running.send_signal(number, signal.SIGKILL)
                await asyncio.to_thread(running.wait, number)
            for number in range(3):
                running.start_instance(number)
            await running.wait_until_ready()
            assert (await running.read_configuration())["version"] == 13

    asyncio.run(scenario())


def test_request_can_be_followed_in_the_log(tmp_path):
    """Guards against a failed statement that cannot be explained from its id.

    Checks that an answered statement and a refused session each leave an event in the log.
    """

    async def scenario():
        async with deployment(tmp_path, "77.7") as running:
            client = await Client.open(running.callers_address(1), "strict")
            await client.run("READ item")
            with pytest.raises(ConnectionError, match="NODB"):
                await Client.open(running.callers_address(1), "missing")
            await asyncio.sleep(0.2)
            answered = [e for e in running.events(1) if e.get("event") == "statement-answered"]
            assert answered[-1]["target"] == running.platform.primary.name
            assert answered[-1]["outcome"] == "done"
            refused = [e for e in running.events(1) if e.get("event") == "session-refused"]
            assert refused[-1]["database"] == "missing"

    asyncio.run(scenario())


_PRINT_NATIVE_MODULES = """
import hibiscuspoint.platform.main
from tests.platform.deployment import native_modules
print(*native_modules("self"))
"""


def test_native_modules_are_loaded_before_any_thread_starts(tmp_path):
    """Guards against native code that is loaded while threads of gRPC run.

    Found on fresh-3fcf of kovacik-zaloha and scale-2 of pluma-viva: processes that imported native
    code after the start of gRPC crashed with a segmentation fault in that import.
    """
    command = [sys.executable, "-c", _PRINT_NATIVE_MODULES]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout

    async def scenario():
        async with deployment(tmp_path, "77.12", disks=1) as running:
            await running.platform.primary.crash()
            await running.serve(1, "WRITE item first")
            await running.read_configuration()
            return running.libraries(0), running.libraries(2)

    with_disk, without_disk = asyncio.run(scenario())
    assert "cygrpc" in output
    assert with_disk | without_disk <= set(output.split())


def test_revoked_key_stops_working_everywhere(tmp_path):
    """Guards against a key that works at one instance only, or outlives its revocation.

    Also guards against keys in logs and in messages to databases.
    """
    keys = {"lumen": "key-of-lumen", "orca": "key-of-orca"}

    async def scenario():
        async with deployment(tmp_path, "77.14") as running:
            running.platform.keys = set(keys.values())
            tenants = [tenant_fields(name, key) for name, key in keys.items()]
            await running.configure(tenants=tenants)
            await running.wait_until_refused((0, 1, 2), "unknown")
            clients = [
                await Client.open(running.callers_address(number), key=keys["lumen"])
                for number in range(3)
            ]
            await clients[0].run("BEGIN")
            assert not (await clients[0].run("WRITE item lost"))[0].startswith("ERROR")
            await running.configure(tenants=tenants[1:])
            async with asyncio.timeout(4.0):
                ends = await asyncio.gather(*(client.wait_for_end() for client in clients))
                await running.wait_until_refused((0, 1, 2), keys["lumen"])
            other = await Client.open(running.callers_address(0), key=keys["orca"])
            assert (await other.run("READ item"))[0] == "ROW none"
            assert ends == [b""] * 3
            assert running.platform.leaks == []
            callers = {name for d in running.platform.databases for name, _ in d.runs}
            assert callers <= {"hibiscuspoint", *keys}
            for number in range(3):
                assert not any(key in running.log_text(number) for key in keys.values())

    asyncio.run(scenario())
