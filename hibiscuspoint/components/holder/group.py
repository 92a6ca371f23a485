"""Execution of the requests of one group at a holder."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from hibiscuspoint.components.holder.reads import ReadRunner
from hibiscuspoint.components.holder.resources import GroupResources
from hibiscuspoint.components.holder.transactions import TransactionRunner
from hibiscuspoint.components.holder.writes import WriteRunner
from hibiscuspoint.errors import HibiscusError

if TYPE_CHECKING:
    from hibiscuspoint.components.holder.context import GroupRequest, GroupResult, HolderContext
    from hibiscuspoint.document import Document
    from hibiscuspoint.document.model import GroupModel
    from hibiscuspoint.ids import GroupId

__all__ = ["GroupHolder"]

logger = logging.getLogger(__name__)


class GroupHolder(GroupResources):
    """Runs the requests of one group.

    :param document: the document in force, with the limits that apply to all groups.
    :param group_model: section of the document that describes this group.
    """

    def __init__(
        self, context: HolderContext, group: GroupId, document: Document, group_model: GroupModel
    ) -> None:
        super().__init__(context, group, document, group_model)
        self._writes = WriteRunner(self, document.limits.idempotency_retention_hours)
        self._reads = ReadRunner(self)
        self._transactions = TransactionRunner(self)

    @property
    def transactions(self) -> TransactionRunner:
        """Runner of the interactive transactions of the group."""
        return self._transactions

    def set_document(self, document: Document, group_model: GroupModel) -> None:
        """Apply the limits and the group section of a new document."""
        super().set_document(document, group_model)
        self._writes.set_retention(document.limits.idempotency_retention_hours)

    async def purge_request_ids(self) -> None:
        """Delete expired request ids; after a failure, the next purge deletes them."""
        try:
            await self._writes.purge()
        except HibiscusError as error:
            logger.debug(
                "expired request ids of group %s were not deleted, the next purge retries: %s",
                self.group,
                error,
            )

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a read or a write and return its result.

        :raises HibiscusError: the request failed; the error carries its verdict.
        """
        if request.is_read:
            return await self._reads.execute(request)
        return await self._writes.execute(request)
