"""Explanation of where a key's requests go."""

from __future__ import annotations

from typing import Any

from swiftpin.config.catalog import Catalog
from swiftpin.core import callback, monotonic_now
from swiftpin.exceptions import MissingKeyError, UnknownServiceError
from swiftpin.gateway.ports import Ownership


class RouteExplainer:
    """Resolves a route as the request path does, without sending anything."""

    def __init__(self, catalog: Catalog, ownership: Ownership) -> None:
        self._catalog = catalog
        self._ownership = ownership

    @callback
    def explain(self, service_name: str, key: str) -> dict[str, Any]:
        """Return the JSON document; raises `RequestError` as the path would."""
        service = self._catalog.service(service_name)
        if service is None:
            raise UnknownServiceError("no service of this name is declared")
        if not service.keyed:
            return {
                "service": service_name,
                "keyed": False,
                "targets": sorted(service.targets_by_id),
                "reason": "any target serves",
            }
        if not key:
            raise MissingKeyError("name the key")
        route = self._ownership.resolve(service, key, monotonic_now())
        return {
            "service": service_name,
            "key": key,
            "keyed": True,
            "slice": route.slice_id,
            "group": route.group.group,
            "target": route.target.id,
            "address": route.target.address,
            "term": route.term,
            "holder": route.holder,
            "forward": route.forward_address,
            "reason": route.reason,
        }
