"""The gRPC service for operators."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from hibiscuspoint.components.repairs import Repairs
from hibiscuspoint.components.status import build_status
from hibiscuspoint.core.control import (
    SubmissionOutcome,
    check_formed_groups,
    judge_submission,
)
from hibiscuspoint.document import Document
from hibiscuspoint.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    HibiscusError,
    NoPrimaryError,
    NotLeaderError,
    RequestError,
)
from hibiscuspoint.ids import GroupId, InstanceId, TargetId
from hibiscuspoint.telemetry import catalogue, log_event
from hibiscuspoint.util.units import MILLISECONDS_PER_SECOND
from hibiscuspoint.wire import common_pb2, peer_pb2, peer_pb2_grpc, record_pb2

if TYPE_CHECKING:
    import grpc
    from google.protobuf.message import Message

    from hibiscuspoint.components.control import Control
    from hibiscuspoint.components.leader_client import LeaderClient
    from hibiscuspoint.core.control import ControlLeader

__all__ = ["OperatorService"]

logger = logging.getLogger(__name__)

#: Seconds that a forwarded call may take; longer than the wait for a planned act.
CALL_SECONDS = 5.0

#: Longest time in seconds that a planned act is waited for before its progress is returned. Below
#: the 5 s after which operator clients of this repository give up a call.
ACT_SECONDS = 3.0

#: Seconds between two looks at the progress of a planned act.
POLL_SECONDS = 0.05

#: Seconds after which every live entry has reported that a target takes no new work;
#: an entry reports every 0.25 s.
SETTLE_SECONDS = 1.0


class OperatorService(peer_pb2_grpc.OperatorServicer):
    """Serves on every instance and forwards to the leader.

    :param environment: environment of this instance.
    :param control: ``None`` on an instance without the role control.
    """

    def __init__(self, environment: str, control: Control | None, leader: LeaderClient) -> None:
        self._environment = environment
        self._control = control
        self._leader_client = leader
        self._repairs = Repairs(control.log) if control is not None else None

    async def Submit(
        self, request: peer_pb2.SubmitRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.SubmitReply:
        """Accept a document by compare-and-set on its number."""
        try:
            if self._leader is None:
                return await self._forward("Submit", request)
            document = self._parse(request.document)
            return await self._submit(document)
        except HibiscusError as error:
            return peer_pb2.SubmitReply(error=_error(error), verdict=error.verdict.value)

    async def Status(
        self, request: peer_pb2.StatusRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.StatusReply:
        """Return the state of groups, entries, targets and control."""
        try:
            if self._leader is None:
                return await self._forward("Status", request)
            return build_status(self._environment, self._control)
        except HibiscusError as error:
            return peer_pb2.StatusReply(error=_error(error))

    async def History(
        self, request: peer_pb2.HistoryRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.HistoryReply:
        """Return the accepted documents, newest first."""
        try:
            if self._leader is None:
                return await self._forward("History", request)
        except HibiscusError as error:
            return peer_pb2.HistoryReply(error=_error(error))
        documents = list(reversed(self._control.state.documents))
        listed = documents[: request.limit] if request.limit else documents
        return peer_pb2.HistoryReply(
            entries=[
                peer_pb2.HistoryEntry(
                    number=document.number,
                    digest=document.digest,
                    accepted_at_ms=document.accepted_at_ms,
                    document=document.text,
                )
                for document in listed
            ]
        )

    async def Drain(
        self, request: peer_pb2.DrainRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.ActReply:
        """Drain an entry or a target."""
        try:
            leader = self._leader
            if leader is None:
                return await self._forward("Drain", request)
            if leader.entries.get(InstanceId(request.subject)) is not None:
                return await self._drain_entry(InstanceId(request.subject))
            if leader.targets.get(TargetId(request.subject)) is not None:
                return await self._drain_target(TargetId(request.subject))
            raise RequestError(f"{request.subject!r} is no known instance or target")
        except HibiscusError as error:
            return _refused(error)

    async def Switchover(
        self, request: peer_pb2.SwitchoverRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.ActReply:
        """Change the primary of a group without interrupting a request."""
        try:
            if self._leader is None:
                return await self._forward("Switchover", request)
            wanted = TargetId(request.to_target) if request.to_target else None
            return await self._switch_over(GroupId(request.group), wanted)
        except HibiscusError as error:
            return _refused(error)

    async def Repair(
        self, request: peer_pb2.RepairRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.ActReply:
        """Replace the lost disk of a control instance."""
        try:
            if self._leader is None:
                return await self._forward("Repair", request)
            repair = self._repairs.start(InstanceId(request.instance))
            await repair.wait(ACT_SECONDS)
            return _acted(repair.is_done, repair.progress)
        except HibiscusError as error:
            return _refused(error)

    @property
    def _leader(self) -> ControlLeader | None:
        return self._control.leader if self._control is not None else None

    async def _forward(self, method: str, request: Message) -> Message:
        if request.forwarded:
            raise NotLeaderError("this instance does not lead the control group")
        return await self._leader_client.call(method, request, CALL_SECONDS)

    def _parse(self, text: str) -> Document:
        document = Document.from_text(text, source="submitted document")
        if document.environment != self._environment:
            raise ConfigurationError(
                f"the document is for environment {document.environment!r}, "
                f"not {self._environment!r}"
            )
        return document

    async def _submit(self, document: Document) -> peer_pb2.SubmitReply:
        state = self._control.state
        try:
            outcome = judge_submission(state, document.number, document.digest)
            if outcome is SubmissionOutcome.PROPOSE:
                check_formed_groups(state, document)
                await self._propose(document)
                # Another document with this number may have been committed first.
                judge_submission(state, document.number, document.digest)
        except (ConfigurationConflictError, ConfigurationError) as error:
            self._log_refusal(document, error)
            raise
        return peer_pb2.SubmitReply(
            accepted=True,
            number=document.number,
            digest=document.digest,
            verdict=common_pb2.DONE,
        )

    async def _propose(self, document: Document) -> None:
        body = record_pb2.AcceptDocument(
            number=document.number,
            digest=document.digest,
            document=document.text,
            accepted_at_ms=int(self._control.clock.unix() * MILLISECONDS_PER_SECOND),
        )
        await self._control.log.propose(record_pb2.Command(accept_document=body))
        log_event(
            logger,
            catalogue.DOCUMENT_ACCEPTED,
            document=document.number,
            digest=document.digest,
        )

    def _log_refusal(self, document: Document, error: HibiscusError) -> None:
        log_event(
            logger,
            catalogue.DOCUMENT_REFUSED,
            document=document.number,
            digest=document.digest,
            code=error.code,
        )

    async def _drain_entry(self, instance: InstanceId) -> peer_pb2.ActReply:
        self._control.request_drain(instance)

        def is_drained() -> bool:
            entry = self._require_leader().entries.get(instance)
            return entry is not None and entry.drained

        return await self._wait_for(is_drained, f"{instance} is finishing its work")

    async def _drain_target(self, target: TargetId) -> peer_pb2.ActReply:
        leader = self._require_leader()
        info = leader.targets.get(target)
        if not self._control.state.is_drained(target, info.incarnation):
            body = record_pb2.DrainTarget(
                group=info.group, target=target, incarnation=info.incarnation
            )
            await self._control.log.propose(record_pb2.Command(drain_target=body))
        # Reads chosen before the entries learned of it may still be on their way to the target.
        quiet_from = self._control.clock.monotonic() + SETTLE_SECONDS

        def has_left() -> bool:
            record = self._control.state.groups.get(info.group)
            if record is None:
                return True
            allocator = self._require_leader().allocators.get(info.group)
            is_unused = allocator is None or allocator.is_unused(target)
            is_settled = self._control.clock.monotonic() >= quiet_from
            return record.primary != target and is_unused and is_settled

        return await self._wait_for(has_left, f"work at {target} is finishing")

    async def _switch_over(self, group: GroupId, wanted: TargetId | None) -> peer_pb2.ActReply:
        leader = self._require_leader()
        controller = leader.groups.get(group)
        if controller is None:
            raise RequestError(f"group {group!r} is not formed")
        record = controller.record
        if wanted is not None and wanted not in record.members:
            raise RequestError(f"target {wanted!r} is no member of group {group!r}")
        if wanted is not None and wanted == record.primary:
            return _acted(True, "already primary")
        term = record.term
        started = False

        def is_done() -> bool:
            nonlocal started
            current = self._require_leader()
            if record.term > term:
                return current.is_started(group)
            # Refused while another change is in progress, so it is asked for again.
            if current.request_switchover(group, wanted, self._control.clock.monotonic()):
                started = True
                target = wanted or "any"
                log_event(
                    logger, catalogue.SWITCHOVER_STARTED, group=group, target=target, term=term
                )
            return False

        reply = await self._wait_for(is_done, "the holders finish their work")
        if not started and not reply.finished:
            raise NoPrimaryError(f"group {group!r} cannot change its primary now")
        return reply

    async def _wait_for(self, condition: object, progress: str) -> peer_pb2.ActReply:
        deadline = self._control.clock.monotonic() + ACT_SECONDS
        while not condition():
            if self._control.clock.monotonic() >= deadline:
                return _acted(False, progress)
            await asyncio.sleep(POLL_SECONDS)
        return _acted(True, "done")

    def _require_leader(self) -> ControlLeader:
        leader = self._leader
        if leader is None:
            raise NotLeaderError("the control leader changed; repeat the command")
        return leader


def _error(error: HibiscusError) -> common_pb2.Error:
    return common_pb2.Error(code=error.code, message=error.message, hint=error.hint)


def _acted(is_finished: bool, progress: str) -> peer_pb2.ActReply:
    return peer_pb2.ActReply(
        accepted=True, finished=is_finished, progress=progress, verdict=common_pb2.DONE
    )


def _refused(error: HibiscusError) -> peer_pb2.ActReply:
    return peer_pb2.ActReply(error=_error(error), verdict=error.verdict.value)
