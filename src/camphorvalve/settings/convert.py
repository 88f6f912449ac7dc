"""Converts JSON values to ``NamedTuple`` types by field names, and back."""

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


class Invalid(enum.Enum):
    """Stands for a value that could not be converted."""

    VALUE = "invalid"


class Converted(NamedTuple):
    """A converted value; ``Invalid.VALUE`` stands where ``problems`` has an entry."""

    value: Any
    problems: tuple[Problem, ...]


def convert(kind: Any, value: Any, key_path: str = "") -> Converted:
    """
    Convert a JSON value and collect everything that is wrong with it.

    :param kind: a type built from ``NamedTuple``, tagged data classes, tuples, dicts and scalars
    :param value: JSON value
    :param key_path: where the value stands
    :return: the value and the problems
    """
    problems: list[Problem] = []
    return Converted(_convert(kind, value, key_path, problems), tuple(problems))


def to_json(value: Any) -> Any:
    """
    Convert to plain JSON values: objects by field names, enums by lower-case name.

    :param value: value built from the types that ``convert`` takes
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
        return {key: to_json(one) for key, one in value.items()}
    if isinstance(value, (set, frozenset)):
        return sorted(to_json(one) for one in value)
    if isinstance(value, (list, tuple)):
        return [to_json(one) for one in value]
    return value


def tag_of(kind: type) -> str:
    """
    Name a tagged data class in JSON.

    :param kind: data class such as ``PutTeam``
    :return: name such as ``put_team``
    """
    letters = (f"_{one.lower()}" if one.isupper() else one for one in kind.__name__)
    return "".join(letters).removeprefix("_")


def _convert(kind: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    origin = typing.get_origin(kind)
    if origin in (Union, types.UnionType):
        return _convert_union(typing.get_args(kind), value, path, problems)
    if origin is tuple:
        return _convert_list(typing.get_args(kind)[0], value, path, problems)
    if origin is dict:
        return _convert_dict(typing.get_args(kind)[1], value, path, problems)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return _convert_enum(kind, value, path, problems)
    if hasattr(kind, "_fields"):
        return _convert_object(kind, kind._fields, kind._field_defaults, value, path, problems)
    if dataclasses.is_dataclass(kind):
        return _convert_tagged((kind,), value, path, problems)
    return _convert_scalar(kind, value, path, problems)


def _convert_union(kinds: Sequence[Any], value: Any, path: str, problems: list[Problem]) -> Any:
    if value is None and type(None) in kinds:
        return None
    others = tuple(kind for kind in kinds if kind is not type(None))
    if all(dataclasses.is_dataclass(kind) for kind in others):
        return _convert_tagged(others, value, path, problems)
    return _convert(others[0], value, path, problems)


def _convert_list(kind: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    if not isinstance(value, list):
        return _reject(path, value, "a list", problems)
    return tuple(
        _convert(kind, one, f"{path}[{index}]", problems) for index, one in enumerate(value)
    )


def _convert_dict(kind: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    if not isinstance(value, dict):
        return _reject(path, value, "an object", problems)
    return {key: _convert(kind, one, _join(path, key), problems) for key, one in value.items()}


def _convert_enum(
    kind: type[enum.Enum], value: Any, path: str, problems: list[Problem]
) -> enum.Enum | Invalid:
    by_name = {member.name.lower(): member for member in kind}
    if isinstance(value, str) and value in by_name:
        return by_name[value]
    return _reject(path, value, f"one of {', '.join(by_name)}", problems)


def _convert_tagged(kinds: Sequence[type], value: Any, path: str, problems: list[Problem]) -> Any:
    by_tag = {tag_of(kind): kind for kind in kinds}
    if not isinstance(value, dict):
        return _reject(path, value, "an object with a type", problems)
    kind = by_tag.get(value.get("type")) if isinstance(value.get("type"), str) else None
    if kind is None:
        expected = f"one of {', '.join(by_tag)}"
        return _reject(_join(path, "type"), value.get("type"), expected, problems)
    names = tuple(field.name for field in dataclasses.fields(kind))
    rest = {key: one for key, one in value.items() if key != "type"}
    return _convert_object(kind, names, {}, rest, path, problems)


def _convert_object(
    kind: Any,
    names: Sequence[str],
    defaults: Mapping[str, Any],
    value: Any,
    path: str,
    problems: list[Problem],
) -> Any:
    if not isinstance(value, dict):
        return _reject(path, value, f"an object with {', '.join(names)}", problems)
    problems.extend(_unknown_keys(names, value, path))
    hints = _hints(kind)
    fields = {}
    for name in names:
        if name in value:
            fields[name] = _convert(hints[name], value[name], _join(path, name), problems)
        elif name in defaults:
            fields[name] = defaults[name]
        else:
            problems.append(Problem(_join(path, name), "nothing", _describe(hints[name])))
            fields[name] = Invalid.VALUE
    return kind(**fields)


def _convert_scalar(kind: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    try:
        converted = msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return _reject(path, value, _describe(kind), problems)
    if isinstance(converted, float) and not math.isfinite(converted):
        return _reject(path, value, "a finite number", problems)
    return converted


def _unknown_keys(names: Sequence[str], value: Mapping[str, Any], path: str) -> Iterator[Problem]:
    for key in value:
        if key not in names:
            expected = _nearest(str(key), names) or f"only known keys ({', '.join(names)})"
            yield Problem(_join(path, str(key)), "an unknown key", expected)


def _nearest(key: str, names: Sequence[str]) -> str | None:
    stem = _stem(key)
    for name in names:
        if _stem(name) == stem and name != stem:
            return f"{name} (in {name.removeprefix(stem + '_')})"
    close = difflib.get_close_matches(key, names, n=1, cutoff=0.8)
    return close[0] if close else None


def _stem(name: str) -> str:
    for suffix in UNIT_SUFFIXES:
        if name.endswith(f"_{suffix}"):
            return name.removesuffix(f"_{suffix}")
    return name


def _reject(path: str, value: Any, expected: str, problems: list[Problem]) -> Invalid:
    problems.append(problem_at(path, value, expected))
    return Invalid.VALUE


_DESCRIPTIONS = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    type(None): "null",
}


def _describe(kind: Any) -> str:
    origin = typing.get_origin(kind)
    if origin in (Union, types.UnionType):
        return " or ".join(_describe(one) for one in typing.get_args(kind))
    if origin is tuple:
        return "a list"
    return _DESCRIPTIONS.get(kind, "an object")


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


@functools.cache
def _hints(kind: Any) -> dict[str, Any]:
    return typing.get_type_hints(kind)


__all__ = [
    "Converted",
    "Invalid",
    "convert",
    "tag_of",
    "to_json",
]
