"""Strict pydantic models whose fields carry unit and allowed values, and their error reports."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar, get_args

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hibiscuspoint.errors import ConfigurationError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from pydantic.fields import FieldInfo

__all__ = [
    "Problem",
    "StrictModel",
    "allowed_values",
    "configuration_error",
    "inspect",
    "nested_model",
    "option",
    "parse_toml",
    "read_text",
    "validate",
]

M = TypeVar("M", bound=BaseModel)

#: Reasons that pydantic states in terms of Python, restated in terms of TOML.
_REASONS = {
    "missing": "is required",
    "extra_forbidden": "is not a known key",
    "string_pattern_mismatch": "has a form that is not allowed",
}


class StrictModel(BaseModel):
    """A frozen model that accepts only known keys and exact types."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False, hide_input_in_errors=True
    )


@dataclass(frozen=True)
class Problem:
    """One reason why a file is refused."""

    source: str
    key: str
    reason: str
    allowed: str = ""

    def __str__(self) -> str:
        place = f"{self.source}: {self.key}" if self.key else self.source
        suffix = f" (allowed: {self.allowed})" if self.allowed else ""
        return f"{place}: {self.reason}{suffix}"


def option(
    default: Any = ..., *, doc: str, unit: str = "", allowed: str = "", **constraints: Any
) -> Any:
    """Declare a field with the facts that error reports and the reference pages print.

    :param doc: one sentence that states the effect of the key.
    :param unit: unit of a number.
    :param allowed: the allowed values, when the constraints do not state them.
    """
    extra = {"unit": unit, "allowed": allowed}
    return Field(default, description=doc, json_schema_extra=extra, **constraints)


def configuration_error(problems: list[Problem]) -> ConfigurationError:
    """Return one error that lists all problems."""
    if len(problems) == 1:
        return ConfigurationError(str(problems[0]))
    lines = "".join(f"\n  {problem}" for problem in problems)
    return ConfigurationError(f"{len(problems)} problems were found:{lines}")


def read_text(path: Path) -> str:
    """Read a UTF-8 file.

    :raises ConfigurationError: the file cannot be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "is not a UTF-8 text file"
        raise configuration_error([Problem(str(path), "", f"cannot be read: {reason}")]) from error


def parse_toml(text: str, source: str) -> dict[str, Any]:
    """Parse TOML.

    :raises ConfigurationError: the text is not TOML.
    """
    try:
        return tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise configuration_error([Problem(source, "", f"is not valid TOML: {error}")]) from error


def validate(
    model: type[M], data: Mapping[str, Any], source: str, context: dict[str, Any] | None = None
) -> M:
    """Build a model from parsed TOML.

    :raises ConfigurationError: lists every problem with key path, reason and allowed values.
    """
    built, problems = inspect(model, data, source, context)
    if built is None:
        raise configuration_error(problems)
    return built


def inspect(
    model: type[M], data: Any, source: str, context: dict[str, Any] | None = None
) -> tuple[M | None, list[Problem]]:
    """Return the model, or ``None`` and every problem."""
    try:
        return model.model_validate(data, context=context), []
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False)
        return None, [_problem(model, item, source) for item in details]


def _problem(model: type[BaseModel], details: Any, source: str) -> Problem:
    location = details["loc"]
    field = _find_field(model, location)
    reason = _REASONS.get(details["type"]) or _plain_reason(details["msg"])
    if details["type"] == "extra_forbidden":
        allowed = ", ".join(_known_keys(model, location))
    else:
        allowed = allowed_values(field) if field is not None else ""
    return Problem(source, _key_path(location), reason, allowed)


def _plain_reason(message: str) -> str:
    text = message.removeprefix("Value error, ").removeprefix("Input ")
    return text[:1].lower() + text[1:]


def _key_path(location: tuple[int | str, ...]) -> str:
    path = ""
    for part in location:
        if isinstance(part, int):
            path += f"[{part}]"
            continue
        name = part if part.isprintable() else repr(part)
        path += f".{name}" if path else name
    return path


def _models_on_path(model: type[BaseModel], location: tuple[int | str, ...]) -> list[Any]:
    """Return the field of each path element; the walk ends where the schema has no field."""
    fields: list[FieldInfo] = []
    current: type[BaseModel] | None = model
    for part in location:
        if isinstance(part, int):
            continue
        if current is None or part not in _by_alias(current):
            break
        field = _by_alias(current)[part]
        fields.append(field)
        current = nested_model(field.annotation)
    return fields


def _by_alias(model: type[BaseModel]) -> dict[str, FieldInfo]:
    return {field.alias or name: field for name, field in model.model_fields.items()}


def _find_field(model: type[BaseModel], location: tuple[int | str, ...]) -> FieldInfo | None:
    fields = _models_on_path(model, location)
    return fields[-1] if fields else None


def _known_keys(model: type[BaseModel], location: tuple[int | str, ...]) -> list[str]:
    fields = _models_on_path(model, location[:-1])
    parent = nested_model(fields[-1].annotation) if fields else model
    return list(_by_alias(parent)) if parent is not None else []


def nested_model(annotation: Any) -> type[BaseModel] | None:
    """Return the model inside an annotation such as ``X``, ``X | None`` or ``tuple[X, ...]``."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        found = nested_model(argument)
        if found is not None:
            return found
    return None


def allowed_values(field: FieldInfo) -> str:
    """Return the allowed values of a field in words; empty when any value of the type is."""
    extra = field.json_schema_extra
    stated = str(extra.get("allowed", "")) if isinstance(extra, dict) else ""
    if stated:
        return stated
    bounds = {
        name: getattr(item, name)
        for item in field.metadata
        for name in ("ge", "gt", "le", "lt")
        if getattr(item, name, None) is not None
    }
    words = {"ge": "at least", "gt": "above", "le": "at most", "lt": "below"}
    return ", ".join(f"{words[name]} {bounds[name]}" for name in words if name in bounds)
