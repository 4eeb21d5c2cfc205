"""Entry point: `python -m swiftpin.bench.news`."""

from __future__ import annotations

import argparse
from pathlib import Path
import sys

import orjson
import uvloop

from swiftpin.bench.news.counting_transport import count_wire_bytes
from swiftpin.bench.news.news_run import NewsResult, NewsRun
from swiftpin.bench.news.way import WAYS_BY_NAME


def _parse(arguments: list[str]) -> argparse.Namespace:
    """Return the options."""
    parser = argparse.ArgumentParser(
        prog="swiftpin.bench.news", description="Measure news between instances."
    )
    parser.add_argument("--instances", type=int, nargs="+", default=[9, 36, 100])
    parser.add_argument(
        "--ways", nargs="+", choices=sorted(WAYS_BY_NAME), default=["announce"]
    )
    parser.add_argument("--loss", type=float, default=0.2, help="share of messages")
    parser.add_argument("--rest", type=float, default=15.0, help="seconds at rest")
    parser.add_argument("--changes", type=int, default=20, help="of each kind")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="file for the figures")
    return parser.parse_args(arguments)


def _print(result: NewsResult) -> None:
    """Print one result as lines of key=value pairs."""
    rest = result.rest
    head = f"way={result.way} instances={result.instances} loss={result.loss}"
    print(
        f"{head} at=rest messages_s={rest.messages_per_second:.2f} "
        f"message_bytes_s={rest.message_bytes_per_second:.0f} "
        f"wire_bytes_s={rest.wire_bytes_per_second:.0f} "
        f"cpu_percent={100 * rest.cpu_share:.2f} "
        f"store_calls_s_fleet={rest.store_calls_per_second:.2f}",
        flush=True,
    )
    for spread in result.spreads:
        print(
            f"{head} at={spread.kind} body_bytes={spread.body_bytes} "
            f"changes={spread.changes} missed={spread.missed} "
            f"p90_ms={1000 * spread.reached_90_median:.0f} "
            f"all_ms={1000 * spread.reached_all_median:.0f} "
            f"all_max_ms={1000 * spread.reached_all_max:.0f} "
            f"wire_bytes={spread.wire_bytes_per_change:.0f} "
            f"cpu_ms={1000 * spread.cpu_per_change:.0f} "
            f"store_calls={spread.store_calls_per_change:.1f} "
            f"duplicates={spread.duplicates_per_change:.1f} "
            f"repaired={spread.repaired_per_change:.1f}",
            flush=True,
        )


async def _async_main(options: argparse.Namespace) -> list[NewsResult]:
    """Run every combination, one after the other."""
    wire = count_wire_bytes()
    results = []
    for name in options.ways:
        for size in options.instances:
            run = NewsRun(
                size=size,
                way=WAYS_BY_NAME[name],
                loss=options.loss,
                seed=options.seed,
                wire=wire,
            )
            result = await run.async_run(options.rest, options.changes)
            _print(result)
            results.append(result)
    return results


def main() -> int:
    """Measure and print."""
    options = _parse(sys.argv[1:])
    results = uvloop.run(_async_main(options))
    if options.json is not None:
        options.json.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
