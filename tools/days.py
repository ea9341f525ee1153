"""Makes a day of a site from one of ours: our disturbances on the traffic of the site's first day.

Usage: ``python -m tools.days SITE DAY OUTPUT``, with a site file, a file of ``deploy/days`` and the
file to write, which the bench then plays. Nothing of the site stays in this repository.
"""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path
from typing import Any

KEPT = ("traffic", "wall", "light", "floor_classes", "floor_zones", "goal", "zero", "one")
DISTURBANCES = ("plan", "faults", "closing")


def day_of(site: dict[str, Any], ours: dict[str, Any], name: str, seed: int) -> dict[str, Any]:
    """Return a day with the traffic of a site and our disturbances.

    Raises
    ------
    ValueError
        The site has no day, or ours holds something else than disturbances.
    """
    unknown = sorted(set(ours) - set(DISTURBANCES))
    if unknown:
        raise ValueError(f"unknown fields: {', '.join(unknown)}")
    if not site.get("day"):
        raise ValueError("the site has no day")
    first = site["day"][0]
    kept = {field: first[field] for field in KEPT if field in first}
    return {"name": name, "slot": "trouble", "seed": seed, "labels": [], **kept, **ours}


def toml_of(value: Any) -> str:
    """Return a value as TOML on one line."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml_of(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml_of(item) for item in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return repr(value)


def main() -> None:
    """Write the day that the arguments name."""
    site, ours, output = (Path(argument) for argument in sys.argv[1:4])
    seed = int(sys.argv[4]) if len(sys.argv) > 4 else 1
    day = day_of(tomllib.loads(site.read_text()), tomllib.loads(ours.read_text()), ours.stem, seed)
    rows = (f"{field} = {toml_of(value)}" for field, value in day.items())
    output.write_text("\n".join(rows) + "\n")


if __name__ == "__main__":
    main()
