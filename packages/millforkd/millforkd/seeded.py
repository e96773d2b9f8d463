"""
Components that several roles of a seeded fleet (one whose daemons start from the addresses of a
few replicas) have in common.

"""

from dataclasses import dataclass
from typing import Final

from millfork_core.environment import Environment
from millfork_registry.discovery import Discovery
from millfork_registry.feed_client import FeedClient
from millfork_registry.feed_relay import FeedRelay
from millfork_registry.registry import Registry
from millfork_settings.loading import read_secret
from millfork_settings.seeded import SeededSettings
from millfork_state.view import View
from millfork_wire.connection import Handler
from millfork_wire.peers import Peers
from millforkd.versions import VersionTracker, never_leads

# The key of a fleet that has no key file. As this key is public, the handshake then only shows
# that a peer is a millforkd, and the network between the instances must be private.
PRIVATE_NETWORK_KEY: Final = b'millfork private network'


def fleet_key(settings: SeededSettings) -> bytes:
    """
    Return the key with which the daemons of a fleet authenticate each other: PRIVATE_NETWORK_KEY
    if the settings have no key file.

    """
    key_file = settings.fleet_key_file
    return read_secret(key_file) if key_file is not None else PRIVATE_NETWORK_KEY


def build_peers(env: Environment, settings: SeededSettings, handler: Handler) -> Peers:
    """
    Create the object that holds a daemon's connections to its peers.

    """
    peers = Peers(
        env,
        settings.role.value,
        str(settings.address),
        settings.ports.wire,
        fleet_key(settings),
        handler,
        closes_unresponsive=True,
    )
    env.metrics.updaters.append(peers.update_metrics)
    return peers


@dataclass(frozen=True, slots=True)
class Feed:
    """
    The components with which an entry or endpoint daemon receives the feed (a replica's stream of
    configuration and lease updates) and passes it on to other daemons. Such a daemon holds no
    replica of the state itself.

    """

    peers: Peers
    discovery: Discovery
    view: View
    registry: Registry
    feed_client: FeedClient
    feed_relay: FeedRelay
    versions: VersionTracker


def build_feed(env: Environment, settings: SeededSettings, role: str, handler: Handler) -> Feed:
    """
    Create the components with which an entry or endpoint daemon receives and relays the feed.

    """
    peers = build_peers(env, settings, handler)
    discovery = Discovery(env, peers, settings.seed_instances)
    view = View()
    registry = Registry(env, settings.promises.heartbeat_ms / 1000)
    feed_client = FeedClient(env, role, view, registry, peers, discovery)
    feed_relay = FeedRelay(env, feed_client)
    versions = VersionTracker(
        env,
        view,
        settings.promises.version_ms,
        feed_client.version_cutoffs,
        unknown_cutoff_ms=settings.promises.version_ms,
        leads=never_leads,
        is_current=lambda: feed_client.is_current,
        up_to_date_at=feed_client.revision_times.up_to_date_at,
    )
    feed_relay.list_switches = versions.switches
    return Feed(peers, discovery, view, registry, feed_client, feed_relay, versions)
