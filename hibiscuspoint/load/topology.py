"""Development launcher: stand-ins and daemons as child processes on loopback."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Self

import grpc
import grpc.aio
import tomli_w

from hibiscuspoint.errors import HibiscusError
from hibiscuspoint.load.layout import (
    InstancePlan,
    Layout,
    TargetPlan,
    document,
    node_settings,
    target_arguments,
)
from hibiscuspoint.load.operator_client import Operator
from hibiscuspoint.load.ports import PortAllocator
from hibiscuspoint.load.process import OwnedProcess
from hibiscuspoint.wire import target_pb2, target_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hibiscuspoint.ids import GroupId, InstanceId, TargetId
    from hibiscuspoint.wire import peer_pb2

__all__ = ["Topology", "is_ready", "wait_until"]

#: Time for a topology to become ready in seconds; a busy machine starts processes slowly.
START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
HTTP_TIMEOUT_S = 2.0


async def wait_until(
    condition: Callable[[], Awaitable[bool]], what: str, timeout: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    :param what: the condition in words, for the error message.
    :raises TimeoutError: it did not hold within ``timeout`` seconds.
    """
    deadline = time.monotonic() + timeout
    while not await condition():
        if time.monotonic() >= deadline:
            raise TimeoutError(f"{what}: not within {timeout:.0f} s")
        await asyncio.sleep(POLL_INTERVAL_S)


async def is_ready(http: str, path: str = "/readyz") -> bool:
    """Tell whether an HTTP endpoint answers with status 200."""
    host, port = http.rsplit(":", 1)
    try:
        async with asyncio.timeout(HTTP_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: {http}\r\nConnection: close\r\n\r\n".encode()
                )
                status = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
    return status.split()[1:2] == [b"200"]


class Topology:
    """Processes of one environment; leaving its context ends all of them.

    :param directory: directory of settings, data and output; a temporary one when ``None``.
    :param advertise: returns the address under which others reach a process, given its name and
        listen address; others use the listen address when ``None``.
    """

    def __init__(
        self,
        layout: Layout,
        directory: Path | None = None,
        advertise: Callable[[str, str], str] | None = None,
    ) -> None:
        self._layout = layout
        self._advertise = advertise
        self._is_temporary = directory is None
        self._directory = directory or Path(tempfile.mkdtemp(prefix="hibiscuspoint-"))
        self._ports = PortAllocator()
        self._processes: dict[str, OwnedProcess] = {}
        self._instances = self._plan_instances()
        self._targets = self._plan_targets()
        self._number = 0

    @property
    def layout(self) -> Layout:
        """Return the sizes of the topology."""
        return self._layout

    @property
    def directory(self) -> Path:
        """Return the directory of settings, data and output."""
        return self._directory

    @property
    def instances(self) -> dict[InstanceId, InstancePlan]:
        """Return the instances by name."""
        return self._instances

    @property
    def targets(self) -> dict[TargetId, TargetPlan]:
        """Return the targets by name."""
        return self._targets

    @property
    def addresses(self) -> list[str]:
        """Return the gRPC addresses of all instances."""
        return [plan.address for plan in self._instances.values()]

    @property
    def document_number(self) -> int:
        """Return the number of the document that was submitted last."""
        return self._number

    def check_processes(self) -> None:
        """Check that no process ended by itself.

        :raises ProcessExitedError: one did.
        """
        for process in self._processes.values():
            process.check()

    def process(self, name: str) -> OwnedProcess:
        """Return the process of an instance or target.

        :raises KeyError: the topology has no such process.
        """
        return self._processes[name]

    def data_directory(self, instance: InstanceId) -> Path:
        """Return the directory of the control log of an instance."""
        return self._directory / instance / "data"

    def wipe(self, instance: InstanceId) -> None:
        """Remove the control log of an instance that does not run."""
        if self._processes[instance].is_running:
            raise RuntimeError(f"{instance} runs; its data directory cannot be removed")
        shutil.rmtree(self.data_directory(instance), ignore_errors=True)

    async def start(self) -> None:
        """Start all processes, submit the first document and wait until all entries are ready.

        :raises TimeoutError: the topology did not become ready.
        :raises ProcessExitedError: a process ended.
        """
        self.launch()
        await self.submit()
        await self.ready()

    def launch(self) -> None:
        """Start all processes without waiting for them."""
        for plan in self._targets.values():
            self._add_target(plan)
        for plan in self._instances.values():
            self._add_instance(plan)

    async def submit(self, timeout: float = START_TIMEOUT_S, **options: object) -> int:
        """Submit the next document and return its number.

        Repeating a submission is safe, because equal documents with equal numbers are one.

        :param options: keys of each group that replace those of the layout.
        """
        text = tomli_w.dumps(document(self._layout, self._number + 1, **options))
        await wait_until(lambda: self._try_submit(text), "submit the document", timeout)
        self._number += 1
        return self._number

    async def _try_submit(self, text: str) -> bool:
        for plan in self._running_instances():
            operator = Operator(plan.address)
            try:
                await operator.submit(text)
            except grpc.aio.AioRpcError:
                continue
            except HibiscusError as error:
                # Rejections that concern the document itself never become acceptance.
                if error.code in ("HP1001", "HP1002"):
                    raise
            else:
                return True
            finally:
                await operator.close()
        self.check_processes()
        return False

    async def ready(self, timeout: float = START_TIMEOUT_S) -> None:
        """Wait until all running instances are ready and each group has a primary."""
        for plan in self._running_instances():
            await wait_until(
                lambda http=plan.http: self._checked_ready(http), plan.instance, timeout
            )
        for group in self._layout.group_ids:
            await self.primary(group, timeout)

    async def _checked_ready(self, http: str) -> bool:
        self.check_processes()
        return await is_ready(http)

    async def status(self) -> peer_pb2.StatusReply | None:
        """Return the status that the first instance able to answer reports."""
        for plan in self._running_instances():
            operator = Operator(plan.address)
            try:
                return await operator.status()
            except (grpc.aio.AioRpcError, HibiscusError):
                continue
            finally:
                await operator.close()
        return None

    async def primary(self, group: GroupId, timeout: float = START_TIMEOUT_S) -> TargetId:
        """Wait until a group has a primary and return it."""
        found: list[TargetId] = []

        async def has_primary() -> bool:
            status = await self.status()
            groups = status.groups if status is not None else ()
            found.extend(entry.primary for entry in groups if entry.group == group if entry.primary)
            return bool(found)

        await wait_until(has_primary, f"primary of {group}", timeout)
        return found[-1]

    async def leader(self, timeout: float = START_TIMEOUT_S) -> InstanceId:
        """Wait until control has a leader and return it."""
        found: list[InstanceId] = []

        async def has_leader() -> bool:
            status = await self.status()
            if status is not None and status.leader:
                found.append(status.leader)
            return bool(found)

        await wait_until(has_leader, "control leader", timeout)
        return found[-1]

    async def switch_over(
        self, group: GroupId, timeout: float = START_TIMEOUT_S, to_target: str = ""
    ) -> None:
        """Start a planned change of the primary of a group, repeating until it is accepted.

        :param to_target: the new primary. With it, a repeat after a lost answer changes nothing.
        """

        async def is_accepted() -> bool:
            for plan in self._running_instances():
                operator = Operator(plan.address)
                try:
                    await operator.switchover(group, to_target)
                except (grpc.aio.AioRpcError, HibiscusError):
                    continue
                else:
                    return True
                finally:
                    await operator.close()
            return False

        await wait_until(is_accepted, f"switchover of {group}", timeout)

    async def set_fault(self, target: TargetId, **switches: object) -> None:
        """Set switches of a stand-in, as ``FaultSettings`` names them."""
        address = self._targets[target].address
        async with grpc.aio.insecure_channel(address) as channel:
            stub = target_pb2_grpc.TargetStub(channel)
            await stub.SetFault(target_pb2.FaultSettings(**switches), timeout=HTTP_TIMEOUT_S)

    async def applied(self, timeout: float = START_TIMEOUT_S) -> None:
        """Wait until all members of each group have applied what one of them holds now."""
        for group in self._layout.group_ids:
            members = [plan for plan in self._targets.values() if plan.group == group]
            tip = max([(await self._progress(plan)).received.index for plan in members])
            for plan in members:
                await wait_until(
                    lambda plan=plan, tip=tip: self._has_applied(plan, tip),
                    f"{plan.target} to apply position {tip}",
                    timeout,
                )

    async def _has_applied(self, plan: TargetPlan, index: int) -> bool:
        return (await self._progress(plan)).applied >= index

    async def _progress(self, plan: TargetPlan) -> target_pb2.Progress:
        """Return the present position of a target, from the target itself."""
        async with grpc.aio.insecure_channel(plan.address) as channel:
            call = target_pb2_grpc.TargetStub(channel).Watch(timeout=HTTP_TIMEOUT_S)
            await call.write(target_pb2.WatchRequest(sample_id=1))
            while (progress := await call.read()).sample_id != 1:
                continue
            call.cancel()
            return progress

    async def close(self) -> None:
        """End all processes and remove a temporary directory."""
        running = [process for process in self._processes.values() if process.is_running]
        for process in running:
            process.kill()
        if self._is_temporary:
            shutil.rmtree(self._directory, ignore_errors=True)

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self.close()

    def _running_instances(self) -> list[InstancePlan]:
        return [
            plan
            for name, plan in self._instances.items()
            if name in self._processes and self._processes[name].is_running
        ]

    def _plan_instances(self) -> dict[InstanceId, InstancePlan]:
        names = self._layout.instance_ids
        addresses = {name: self._ports.address() for name in names}
        advertised = {name: self._advertised(name, addresses[name]) for name in names}
        members = {
            name: advertised[name] or addresses[name] for name in names[: self._layout.control]
        }
        return {
            name: InstancePlan(
                instance=name,
                zone=self._layout.zone(number),
                address=addresses[name],
                http=self._ports.address(),
                members=members,
                advertised=advertised[name],
                callers=self._ports.address() if self._layout.has_caller_port else None,
            )
            for number, name in enumerate(names)
        }

    def _plan_targets(self) -> dict[TargetId, TargetPlan]:
        return {
            target: self._plan_target(target, group, number)
            for group in self._layout.group_ids
            for number, target in enumerate(self._layout.target_ids(group))
        }

    def _plan_target(self, target: TargetId, group: GroupId, number: int) -> TargetPlan:
        address = self._ports.address()
        return TargetPlan(
            target=target,
            group=group,
            zone=self._layout.zone(number),
            address=address,
            announce=tuple(plan.advertised or plan.address for plan in self._instances.values()),
            advertised=self._advertised(target, address),
        )

    def _advertised(self, name: str, address: str) -> str:
        return "" if self._advertise is None else self._advertise(name, address)

    def _add_instance(self, plan: InstancePlan) -> None:
        directory = self._directory / plan.instance
        directory.mkdir(parents=True, exist_ok=True)
        settings = directory / "node.toml"
        settings.write_text(tomli_w.dumps(node_settings(self._layout, plan)), encoding="utf-8")
        self._start(plan.instance, ["hibiscuspoint.daemon", "--settings", str(settings)])

    def _add_target(self, plan: TargetPlan) -> None:
        directory = self._directory / plan.target
        directory.mkdir(parents=True, exist_ok=True)
        arguments = target_arguments(self._layout, plan, str(directory))
        self._start(plan.target, ["hibiscuspoint.standin", *arguments])

    def _start(self, name: str, arguments: list[str]) -> None:
        process = OwnedProcess(name, arguments, self._directory)
        self._processes[name] = process
        process.start()
