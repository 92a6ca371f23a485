"""A holder's work for one group."""

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

    :param rules: the group in the document in force.
    """

    def __init__(
        self, context: HolderContext, group: GroupId, document: Document, rules: GroupModel
    ) -> None:
        super().__init__(context, group, document, rules)
        self._writes = WriteRunner(self, document.limits.idempotency_retention_hours)
        self._reads = ReadRunner(self)
        self._transactions = TransactionRunner(self)

    @property
    def transactions(self) -> TransactionRunner:
        """Return the runner of interactive transactions."""
        return self._transactions

    def set_rules(self, document: Document, rules: GroupModel) -> None:
        """Take the rules of a new document over."""
        super().set_rules(document, rules)
        self._writes.set_retention(document.limits.idempotency_retention_hours)

    async def purge_request_ids(self) -> None:
        """Delete old request ids; a failure is left to the next time."""
        try:
            await self._writes.purge()
        except HibiscusError as error:
            logger.debug("request ids of group %s were not deleted: %s", self.group, error)

    async def execute(self, request: GroupRequest) -> GroupResult:
        """Run a request.

        :raises HibiscusError: with the verdict of the request.
        """
        if request.is_read:
            return await self._reads.execute(request)
        return await self._writes.execute(request)
