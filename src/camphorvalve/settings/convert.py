"""Converts JSON values to typed records by field name, and back."""

from __future__ import annotations

import dataclasses
import difflib
import enum
import functools
import math
import types
import typing
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar, Union

import msgspec

from camphorvalve.settings.problems import Problem, problem_at

T = TypeVar("T")

UNIT_SUFFIXES = ("bytes_per_s", "s", "ms", "bytes", "count", "tokens", "units", "ratio")
"""Suffixes of field names that state the unit; a key without its suffix gets a suggestion."""


class Invalid(enum.Enum):
    """Placeholder for a value that could not be converted."""

    VALUE = "invalid"


class Converted(NamedTuple):
    """Result of a conversion; ``Invalid.VALUE`` replaces each part that could not be converted."""

    value: Any
    problems: tuple[Problem, ...]


def convert(target: Any, value: Any, key_path: str = "") -> Converted:
    """
    Convert a JSON value and collect all problems instead of stopping at the first one.

    :param target: type to convert to, built from ``NamedTuple``, tagged data classes, enums,
        tuples, dicts and scalars
    :param value: JSON value
    :param key_path: key path of the value, used in problems
    :return: the converted value and the problems
    """
    problems: list[Problem] = []
    return Converted(_convert(target, value, key_path, problems), tuple(problems))


def to_json(value: Any) -> Any:
    """
    Convert a value to JSON: records become objects and enum members their lower-case names.

    :param value: value built from the types that ``convert`` supports
    :return: JSON value
    """
    if isinstance(value, enum.Enum):
        return value.name.lower()
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return {name: to_json(getattr(value, name)) for name in value._fields}
    if dataclasses.is_dataclass(value):
        names = [field.name for field in dataclasses.fields(value)]
        fields = {name: to_json(getattr(value, name)) for name in names}
        return {"type": tag_of(type(value)), **fields}
    if isinstance(value, Mapping):
        return {key: to_json(item) for key, item in value.items()}
    if isinstance(value, (set, frozenset)):
        return sorted(to_json(item) for item in value)
    if isinstance(value, (list, tuple)):
        return [to_json(item) for item in value]
    return value


def tag_of(data_class: type) -> str:
    """
    Derive the value of the ``type`` key that identifies a data class in JSON.

    :param data_class: data class such as ``PutTeam``
    :return: class name in snake case, such as ``put_team``
    """
    letters = (f"_{char.lower()}" if char.isupper() else char for char in data_class.__name__)
    return "".join(letters).removeprefix("_")


def _convert(target: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    origin = typing.get_origin(target)
    if origin in (Union, types.UnionType):
        return _convert_union(typing.get_args(target), value, path, problems)
    if origin is tuple:
        return _convert_list(typing.get_args(target)[0], value, path, problems)
    if origin is dict:
        return _convert_dict(typing.get_args(target)[1], value, path, problems)
    if isinstance(target, type) and issubclass(target, enum.Enum):
        return _convert_enum(target, value, path, problems)
    if hasattr(target, "_fields"):
        return _convert_object(
            target, target._fields, target._field_defaults, value, path, problems
        )
    if dataclasses.is_dataclass(target):
        return _convert_tagged((target,), value, path, problems)
    return _convert_scalar(target, value, path, problems)


def _convert_union(targets: Sequence[Any], value: Any, path: str, problems: list[Problem]) -> Any:
    if value is None and type(None) in targets:
        return None
    others = tuple(target for target in targets if target is not type(None))
    if all(dataclasses.is_dataclass(target) for target in others):
        return _convert_tagged(others, value, path, problems)
    return _convert(others[0], value, path, problems)


def _convert_list(target: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    if not isinstance(value, list):
        return _reject(path, value, "a list", problems)
    return tuple(
        _convert(target, item, f"{path}[{index}]", problems) for index, item in enumerate(value)
    )


def _convert_dict(target: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    if not isinstance(value, dict):
        return _reject(path, value, "an object", problems)
    return {
        key: _convert(target, item, _join_path(path, key), problems) for key, item in value.items()
    }


def _convert_enum(
    target: type[enum.Enum], value: Any, path: str, problems: list[Problem]
) -> enum.Enum | Invalid:
    by_name = {member.name.lower(): member for member in target}
    if isinstance(value, str) and value in by_name:
        return by_name[value]
    return _reject(path, value, f"one of {', '.join(by_name)}", problems)


def _convert_tagged(targets: Sequence[type], value: Any, path: str, problems: list[Problem]) -> Any:
    by_tag = {tag_of(target): target for target in targets}
    if not isinstance(value, dict):
        return _reject(path, value, "an object with a type", problems)
    target = by_tag.get(value.get("type")) if isinstance(value.get("type"), str) else None
    if target is None:
        expected = f"one of {', '.join(by_tag)}"
        return _reject(_join_path(path, "type"), value.get("type"), expected, problems)
    names = tuple(field.name for field in dataclasses.fields(target))
    fields = {key: item for key, item in value.items() if key != "type"}
    return _convert_object(target, names, {}, fields, path, problems)


def _convert_object(
    target: Any,
    names: Sequence[str],
    defaults: Mapping[str, Any],
    value: Any,
    path: str,
    problems: list[Problem],
) -> Any:
    if not isinstance(value, dict):
        return _reject(path, value, f"an object with {', '.join(names)}", problems)
    problems.extend(_unknown_keys(names, value, path))
    field_types = _field_types(target)
    fields = {}
    for name in names:
        if name in value:
            fields[name] = _convert(
                field_types[name], value[name], _join_path(path, name), problems
            )
        elif name in defaults:
            fields[name] = defaults[name]
        else:
            problems.append(
                Problem(_join_path(path, name), "nothing", _describe_type(field_types[name]))
            )
            fields[name] = Invalid.VALUE
    return target(**fields)


def _convert_scalar(target: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    try:
        converted = msgspec.convert(value, target)
    except msgspec.ValidationError:
        return _reject(path, value, _describe_type(target), problems)
    if isinstance(converted, float) and not math.isfinite(converted):
        return _reject(path, value, "a finite number", problems)
    return converted


def _unknown_keys(names: Sequence[str], value: Mapping[str, Any], path: str) -> Iterator[Problem]:
    for key in value:
        if key not in names:
            expected = _suggestion(str(key), names) or f"only known keys ({', '.join(names)})"
            yield Problem(_join_path(path, str(key)), "an unknown key", expected)


def _suggestion(key: str, names: Sequence[str]) -> str | None:
    stem = _strip_unit(key)
    for name in names:
        if _strip_unit(name) == stem and name != stem:
            return f"{name} (in {name.removeprefix(stem + '_')})"
    close = difflib.get_close_matches(key, names, n=1, cutoff=0.8)
    return close[0] if close else None


def _strip_unit(name: str) -> str:
    for suffix in UNIT_SUFFIXES:
        if name.endswith(f"_{suffix}"):
            return name.removesuffix(f"_{suffix}")
    return name


def _reject(path: str, value: Any, expected: str, problems: list[Problem]) -> Invalid:
    problems.append(problem_at(path, value, expected))
    return Invalid.VALUE


_TYPE_DESCRIPTIONS = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    type(None): "null",
}


def _describe_type(target: Any) -> str:
    origin = typing.get_origin(target)
    if origin in (Union, types.UnionType):
        return " or ".join(_describe_type(member) for member in typing.get_args(target))
    if origin is tuple:
        return "a list"
    return _TYPE_DESCRIPTIONS.get(target, "an object")


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


@functools.cache
def _field_types(target: Any) -> dict[str, Any]:
    return typing.get_type_hints(target)


__all__ = [
    "Converted",
    "Invalid",
    "convert",
    "tag_of",
    "to_json",
]
