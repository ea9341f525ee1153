"""Documented sample of the settings file."""

from __future__ import annotations

import textwrap
from typing import Any

from ragworttiller.config.base import Option
from ragworttiller.config.defaults import SECTIONS

COMMENT_WIDTH = 98


def sample() -> str:
    """Return a valid settings file that explains every option."""
    blocks = []
    for section in SECTIONS:
        lines = _comment(section.help)
        lines.append(f"[{section.name}]")
        for option in section.options:
            lines += ["", *_comment(_explanation(option)), _assignment(option)]
        blocks.append("\n".join(lines))
    return "\n\n".join(blocks) + "\n"


def _explanation(option: Option[Any]) -> str:
    required_note = " Required." if option.required else ""
    return f"{option.help}{required_note} Allowed: {option.allowed}."


def _assignment(option: Option[Any]) -> str:
    line = f"{option.name} = {option.sample}".rstrip()
    return line if option.required else f"# {line}"


def _comment(text: str) -> list[str]:
    return [f"# {line}" for line in textwrap.wrap(text, COMMENT_WIDTH)]
