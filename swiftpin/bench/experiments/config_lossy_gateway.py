"""A gateway that loses a share of the news between instances.

`python -m swiftpin.bench.experiments.config_lossy_gateway` takes the flags of
`swiftpin-gateway`, which has none for losses.
"""

from __future__ import annotations

import sys
from typing import Final

from swiftpin.bench.news.lossy_peer_clients import LossyPeerClients
from swiftpin.gateway.__main__ import main
from swiftpin.membership import coordinator
from swiftpin.membership.directory import InstanceDirectory
from swiftpin.membership.peer_clients import PeerClients
from swiftpin.membership.peer_counters import PeerCounters

NEWS_LOSS: Final = 0.2
SEED: Final = 1


def lossy_clients(
    *,
    instance_id: str,
    directory: InstanceDirectory,
    counters: PeerCounters,
    timeout: float,
) -> PeerClients:
    """Return calls to other instances of which those with news may be lost.

    `timeout` is left at the default, which gateways have anyway.
    """
    return LossyPeerClients(
        instance_id=instance_id,
        directory=directory,
        counters=counters,
        share=NEWS_LOSS,
        seed=SEED,
    )


def main_lossy() -> int:
    """Run the gateway with its calls to other instances replaced."""
    setattr(coordinator, PeerClients.__name__, lossy_clients)
    return main()


if __name__ == "__main__":
    sys.exit(main_lossy())
