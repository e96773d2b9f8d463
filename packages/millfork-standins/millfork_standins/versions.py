"""
Reads manifests from the origin and computes the ids and keys with which answers are checked.

"""

from dataclasses import dataclass

from millfork_standins.fleet import Fleet
from millfork_standins.layout import STANDIN_PORT
from millfork_standins.requests import fetch
from millfork_standins.weights import weights_key
from millfork_weights.manifest import decode_manifest, digest_of

ID_CHARS = 16


@dataclass(frozen=True, slots=True)
class KnownVersion:
    """
    The id by which answers name a version, the digest of its weights, and the key (see
    `weights_key`) of an engine that loaded only these weights.

    """

    id: str
    weights_digest: str
    key: str


def fetch_version(fleet: Fleet, version: str, model: str = '') -> KnownVersion:
    """
    Read the version's current manifest from the origin and compute the id and key of the version.
    Without `model`, the version is one of the model of the fleet's shape.

    """
    path = f'/models/{model or fleet.shape.model}/{version}/manifest'
    body = fetch('GET', fleet.origin['host'], STANDIN_PORT, path).body
    weights_digest = decode_manifest(body).whole
    return KnownVersion(digest_of(body)[:ID_CHARS], weights_digest, weights_key([weights_digest]))
