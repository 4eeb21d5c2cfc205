"""A caller's request, understood."""

from __future__ import annotations

from dataclasses import dataclass

from multidict import CIMultiDictProxy

from swiftpin.config.profile import Profile
from swiftpin.config.request_class import RequestClass
from swiftpin.config.service import Service


@dataclass(kw_only=True, slots=True)
class IncomingRequest:
    """What a request asks for, without its body; nobody changes it.

    It is not frozen, as making a frozen one takes several microseconds longer, and one
    is made for each request.

    `key` is empty for services that are not divided by key. `ticket` is the value
    of `Swiftpin-Ticket`, if any. `full_path` is the path and query as received, `path`
    the same without the service. `deadline` is monotonic, in seconds. `forwarded`
    tells whether another instance sent it on; `caller` is the address of the caller
    where the request entered.
    """

    id: str
    service: Service
    profile: Profile
    request_class: RequestClass
    key: str
    idempotency_key: str | None
    ticket: str | None
    method: str
    full_path: str
    path: str
    headers: CIMultiDictProxy[str]
    caller: str
    deadline: float
    forwarded: bool
