"""Worker process of the load generator: `python -m swiftpin.bench.load SPEC`."""

from __future__ import annotations

import argparse
from pathlib import Path
import time
from typing import Final

import orjson
from pydantic import TypeAdapter
import uvloop

from swiftpin.bench.load.worker import LoadWorker
from swiftpin.bench.load.worker_result import WorkerResult
from swiftpin.bench.load.worker_spec import WorkerSpec

START_POLL_INTERVAL: Final = 0.01


def wait_start(path: Path) -> float:
    """Block until the driver has written the start time and return it."""
    while not path.exists():
        time.sleep(START_POLL_INTERVAL)
    return float(path.read_text())


def write_result(path: Path, result: WorkerResult) -> None:
    """Publish the result at once and whole."""
    partial = path.with_suffix(".partial")
    partial.write_bytes(orjson.dumps(result))
    partial.rename(path)


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("spec", type=Path, help="file with a WorkerSpec as JSON")
    arguments = parser.parse_args()
    spec = TypeAdapter(WorkerSpec).validate_json(arguments.spec.read_bytes())
    Path(spec.ready_path).touch()
    start = wait_start(Path(spec.start_path))
    result = uvloop.run(LoadWorker(spec, start).async_run())
    write_result(Path(spec.result_path), result)


if __name__ == "__main__":
    main()
