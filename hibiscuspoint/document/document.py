"""A parsed environment document with its digest."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING, Any

import tomli_w

from hibiscuspoint.document.model import EnvironmentModel
from hibiscuspoint.ids import GroupId
from hibiscuspoint.util.schema import parse_toml, read_text, validate

if TYPE_CHECKING:
    from pathlib import Path

    from hibiscuspoint.document.model import GroupModel, LimitsModel, PromotionModel

__all__ = ["Document", "promoted"]


@dataclass(frozen=True)
class Document:
    """One document; two documents with the same meaning have the same digest."""

    model: EnvironmentModel
    text: str = field(compare=False, repr=False)

    @property
    def environment(self) -> str:
        """Return the environment that the document is for."""
        return self.model.environment

    @property
    def number(self) -> int:
        """Return the number of the document."""
        return self.model.number

    @property
    def limits(self) -> LimitsModel:
        """Return the limits of queues and retries."""
        return self.model.limits

    @property
    def promotion(self) -> PromotionModel:
        """Return the conditions of a promotion."""
        return self.model.promotion

    @cached_property
    def groups(self) -> dict[GroupId, GroupModel]:
        """Return the groups by name."""
        return {GroupId(group.name): group for group in self.model.group}

    @cached_property
    def digest(self) -> str:
        """Return the SHA-256 over the canonical JSON of the document, in hexadecimal."""
        text = json.dumps(canonical(self.model), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()

    @classmethod
    def from_text(cls, text: str, source: str = "document") -> Document:
        """Parse a document.

        :raises ConfigurationError: lists every problem of the text.
        """
        return cls(validate(EnvironmentModel, parse_toml(text, source), source), text)

    @classmethod
    def from_file(cls, path: Path) -> Document:
        """Read a document.

        :raises ConfigurationError: the file cannot be read or lists every problem of it.
        """
        return cls.from_text(read_text(path), source=str(path))


def canonical(model: EnvironmentModel) -> dict[str, Any]:
    """Return the parts of a document that differ from the defaults, groups in name order.

    Leaving defaults out keeps the digest of a document when a later version adds a key with a
    default, so that instances of both versions agree during a rolling restart.
    """
    data = model.model_dump(mode="json", exclude_defaults=True, exclude={"group"})
    groups = sorted(model.group, key=lambda group: group.name)
    data["group"] = [_canonical_group(group) for group in groups]
    return data


def _canonical_group(group: GroupModel) -> dict[str, Any]:
    data = group.model_dump(mode="json", exclude_defaults=True)
    if group.ack_quorum == group.majority:
        data.pop("ack_quorum", None)
    return data


def promoted(document: Document, environment: str, number: int) -> str:
    """Return the TOML text of a document with the same rules for another environment.

    :param number: number of the new document, one more than the number in force there.
    :raises ConfigurationError: the environment or number is not valid.
    """
    data = document.model.model_dump(mode="json", exclude_unset=True, exclude_none=True)
    data.update(environment=environment, number=number)
    text = tomli_w.dumps(data)
    Document.from_text(text, source="promoted document")
    return text
