"""Demonstration: `python -m swiftpin.bench.demo [--check]`."""

from __future__ import annotations

import argparse
import asyncio
from pathlib import Path
import sys
from tempfile import TemporaryDirectory
from typing import Final

import uvloop

from swiftpin.bench.cluster.cluster import Cluster
from swiftpin.bench.demo.demo_cluster import demo_cluster
from swiftpin.bench.demo.scenes import Scenes
from swiftpin.bench.demo.screen import Screen
from swiftpin.bench.runner import cancel_on_terminate
from swiftpin.exceptions import SwiftpinError

CHECK_LIMIT: Final = 30.0
DECLARATIONS: Final = Path("examples/demo")
EXIT_WRONG: Final = 1


async def async_check(cluster: Cluster, screen: Screen) -> bool:
    """Play all scenes, with losses, and return whether every answer was right."""
    await cluster.async_start()
    scenes = Scenes(cluster, screen)
    await scenes.async_play()
    await scenes.async_play_losses()
    failed = scenes.checks.failed
    screen.show(f"{len(failed)} wrong" if failed else "every answer was right")
    return not failed


async def async_show(cluster: Cluster, screen: Screen) -> bool:
    """Play the scenes and stay up until cancelled."""
    await cluster.async_start()
    scenes = Scenes(cluster, screen)
    await scenes.async_play()
    screen.show_addresses(cluster.layout)
    screen.show("\nCtrl-C ends everything.")
    await asyncio.Event().wait()
    return True


async def async_run(*, check: bool, declarations: Path, directory: Path) -> bool:
    """Run the demonstration and return whether it went well."""
    cancel_on_terminate()
    screen = Screen()
    spec = demo_cluster(declarations)
    screen.show("Starting a store, an instance list, targets and gateways.")
    async with Cluster(spec, directory) as cluster:
        if not check:
            return await async_show(cluster, screen)
        async with asyncio.timeout(CHECK_LIMIT):
            return await async_check(cluster, screen)


def main() -> int:
    """Run the command and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--check",
        action="store_true",
        help="exit 0 only if every answer was right, also after losses",
    )
    parser.add_argument("--declarations", type=Path, default=DECLARATIONS)
    arguments = parser.parse_args()
    try:
        with TemporaryDirectory(prefix="swiftpin-demo-") as directory:
            is_right = uvloop.run(
                async_run(
                    check=arguments.check,
                    declarations=arguments.declarations,
                    directory=Path(directory),
                )
            )
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 0
    except TimeoutError:
        sys.stderr.write(f"demo: not done within {CHECK_LIMIT:g} s\n")
        return EXIT_WRONG
    except SwiftpinError as err:
        sys.stderr.write(f"demo: {err}\n")
        return EXIT_WRONG
    return 0 if is_right else EXIT_WRONG


if __name__ == "__main__":
    sys.exit(main())
