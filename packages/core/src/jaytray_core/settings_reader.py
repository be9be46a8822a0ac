"""Reads an INI settings file according to a table of options.

The table has the converter and the default of each option. A section or an option
that is not in the table is refused, so that a misspelt option does not silently keep
its default.
"""

import configparser
import re
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from jaytray_core import message_registry as messages
from jaytray_core.addresses import parse_address
from jaytray_core.errors import JaytrayError, Step


class SettingSpec(NamedTuple):
    """One option; `default` None means that it is required.

    `convert` raises ValueError with a reason. `unit` and `purpose` are documentation.
    """

    section: str
    option: str
    convert: Callable[[str], Any]
    default: str | None
    unit: str
    purpose: str


def read_settings(
    path: Path, specs: Sequence[SettingSpec]
) -> dict[tuple[str, str], Any]:
    """Return the converted values by (section, option).

    Raises `settings_unreadable` or `settings_invalid` for the first fault found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as err:
        detail = " ".join(str(err).split())
        raise JaytrayError(
            messages.SETTINGS_UNREADABLE, step=Step.SETTINGS, file=path, detail=detail
        ) from err
    _refuse_unknown(parser, path, specs)
    return {(spec.section, spec.option): _convert(parser, path, spec) for spec in specs}


def convert_address(text: str) -> str:
    """Check an `IP:port` address and return it unchanged."""
    parse_address(text)
    return text.strip()


def convert_optional_address(text: str) -> str:
    """Like `convert_address`, but an empty text is allowed."""
    return convert_address(text) if text.strip() else ""


def convert_name(text: str) -> str:
    """Return a name of letters, digits, `.`, `_` and `-`."""
    stripped = text.strip()
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]*", stripped):
        raise ValueError(f"{text!r} is not a name")
    return stripped


def number_between(lowest: float, highest: float) -> Callable[[str], float]:
    """Return a converter for numbers within the inclusive bounds."""

    def convert(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{text!r} is not a number") from None
        if not lowest <= value <= highest:
            raise ValueError(f"{text} is not between {lowest:g} and {highest:g}")
        return value

    return convert


def integer_between(lowest: int, highest: int) -> Callable[[str], int]:
    """Return a converter for integers within the inclusive bounds."""

    def convert(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise ValueError(f"{text!r} is not an integer") from None
        if not lowest <= value <= highest:
            raise ValueError(f"{text} is not between {lowest} and {highest}")
        return value

    return convert


def _refuse_unknown(
    parser: configparser.ConfigParser, path: Path, specs: Sequence[SettingSpec]
) -> None:
    known = {(spec.section, spec.option) for spec in specs}
    sections = {spec.section for spec in specs}
    if parser.defaults():
        raise _invalid(
            path, "DEFAULT", next(iter(parser.defaults())), "unknown section"
        )
    for section in parser.sections():
        for option in parser.options(section) or ["-"]:
            if section not in sections:
                raise _invalid(path, section, option, "unknown section")
            if option != "-" and (section, option) not in known:
                raise _invalid(path, section, option, "unknown option")


def _convert(parser: configparser.ConfigParser, path: Path, spec: SettingSpec) -> Any:
    text = parser.get(spec.section, spec.option, fallback=spec.default)
    if text is None:
        raise _invalid(path, spec.section, spec.option, "this option is required")
    try:
        return spec.convert(text)
    except ValueError as err:
        raise _invalid(path, spec.section, spec.option, str(err)) from err


def _invalid(path: Path, section: str, option: str, detail: str) -> JaytrayError:
    return JaytrayError(
        messages.SETTINGS_INVALID,
        step=Step.SETTINGS,
        file=path,
        section=section,
        option=option,
        detail=detail,
    )
