"""Ways to forward a request."""

from __future__ import annotations

from enum import StrEnum


class HopWay(StrEnum):
    """By HTTP/1.1, as the gateway does, or by gRPC over HTTP/2."""

    HTTP = "http"
    GRPC = "grpc"
