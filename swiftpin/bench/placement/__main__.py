"""Entry point of `python -m swiftpin.bench.placement`."""

from __future__ import annotations

import argparse
import sys

import orjson

from swiftpin.bench.placement.options import QUICK_SIZES, PlacementOptions
from swiftpin.bench.placement.run import run
from swiftpin.bench.placement.tables import tables


def main(arguments: list[str] | None = None) -> int:
    """Run the experiment and write its results to stdout."""
    parser = argparse.ArgumentParser(prog="python -m swiftpin.bench.placement")
    parser.add_argument("--json", action="store_true", help="write JSON, not tables")
    parser.add_argument("--quick", action="store_true", help="small sizes only")
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args(arguments)
    options = PlacementOptions(seed=parsed.seed)
    if parsed.quick:
        options = PlacementOptions(
            seed=parsed.seed,
            sizes=QUICK_SIZES,
            sweep_targets=200,
            sweep_group_sizes=(5, 8, 20, 200),
        )
    report = run(options)
    if parsed.json:
        sys.stdout.buffer.write(orjson.dumps(report, option=orjson.OPT_INDENT_2))
    else:
        sys.stdout.write(tables(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
