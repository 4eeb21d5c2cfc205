"""The holder's process: `python -m swiftpin.bench.hop.holder`."""

from __future__ import annotations

import argparse
import asyncio

import uvloop

from swiftpin.bench.hop.grpc_holder import async_listen_grpc
from swiftpin.bench.hop.http_holder import async_listen_http
from swiftpin.helpers.address import parse_address


async def async_serve(http: str, grpc: str) -> None:
    """Serve both ways until the process is ended."""
    server = await async_listen_http(parse_address(http))
    grpc_server = await async_listen_grpc(parse_address(grpc))
    try:
        await asyncio.Event().wait()
    finally:
        server.close()
        grpc_server.close()


def main() -> None:
    """Run the holder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--http", required=True, help="address for HTTP")
    parser.add_argument("--grpc", required=True, help="address for gRPC")
    options = parser.parse_args()
    uvloop.run(async_serve(options.http, options.grpc))


if __name__ == "__main__":
    main()
