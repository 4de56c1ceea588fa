"""Node.

Builds the application of one node from its settings.
"""

import sys

from .admin.part import build_admin
from .application import Application
from .clocks import SystemClock
from .config.part import build_config
from .draining.part import build_draining
from .ejection.part import build_evidence_exchange
from .forwarding.part import build_ingress
from .limits.part import build_limits
from .membership.part import build_membership
from .reporting.metrics import count_invariants, create_metrics
from .reporting.part import build_reporting
from .rpc import Channels, RpcServer
from .store import create_client

STORE_CLIENT = "grpc"
# The request path shares the interpreter with other threads; the usual 5 ms
# would be most of the time that a request may be delayed.
SWITCH_INTERVAL_S = 0.0005


def build_node(settings):
    """Return the `Application` of a node.

    Args:
        settings: The `NodeSettings`.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    application = Application()
    clock = SystemClock()
    metrics = create_metrics(settings.statsd, f"persimmonlane.{settings.name}")
    count_invariants(metrics)
    rpc_server = application.add(RpcServer(settings.rpc, settings.fleet_token))
    channels = application.add(Channels(settings.fleet_token))
    store = create_client(STORE_CLIENT, settings.store)
    membership = build_membership(
        application, settings, clock, rpc_server, channels, metrics
    )
    config = build_config(
        application, settings, clock, rpc_server, channels, store, membership.peers
    )
    draining = build_draining(application, clock, membership, config)
    get_records = tuple
    if "ingress" in settings.roles:
        ingress = build_ingress(application, settings, clock, metrics)
        limits = build_limits(
            application, settings, clock, rpc_server, channels, store, membership.peers
        )
        evidence = build_evidence_exchange(
            application, settings, clock, rpc_server, channels, membership.peers
        )
        evidence.connect(ingress.traffic)
        ingress.connect(membership, config, limits, draining)
        reporting = build_reporting(application, ingress.drain_records, metrics)
        get_records = reporting.history.list
    build_admin(
        application, settings, config, store, channels, membership.peers, get_records
    )
    return application
