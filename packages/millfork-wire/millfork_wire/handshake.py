"""
Peers prove who they are before anything else is read.

Both sides send a nonce and then a keyed hash over both hellos. The key of an
instance is derived from the fleet's key, so a proof names its instance.

"""

import hmac
import secrets
from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId
from millfork_wire import codec
from millfork_wire.messages import PROTOCOL_VERSION, Hello, Message, Proof
from millfork_wire.transport import Transport

NONCE_BYTES: Final = 16
HASH_NAME: Final = 'sha256'


class HandshakeFailed(Exception):
    """
    The other side did not prove to be the peer it claims to be.

    """


def _mac(fleet_key: bytes, prover: Hello, verifier: Hello) -> bytes:
    instance_key = hmac.digest(fleet_key, prover.instance.encode(), HASH_NAME)
    prover_bytes = codec.encode(codec.Frame(0, codec.FrameKind.EVENT, prover))
    verifier_bytes = codec.encode(codec.Frame(0, codec.FrameKind.EVENT, verifier))
    return hmac.digest(instance_key, prover_bytes + verifier_bytes, HASH_NAME)


async def perform_handshake(
    transport: Transport,
    env: Environment,
    role: str,
    fleet_key: bytes,
    target: InstanceId,
) -> Hello:
    """
    Exchange hellos and proofs; return the peer's proven hello.

    `target` is the instance dialled, or empty on the accepting side.

    :raises HandshakeFailed: on a wrong version, instance or proof.

    """
    own_hello = Hello(
        PROTOCOL_VERSION,
        env.instance,
        env.zone,
        role,
        secrets.token_bytes(NONCE_BYTES),
        target,
    )
    await transport.send(codec.Frame(0, codec.FrameKind.EVENT, own_hello))
    first_message = (await transport.receive(codec.MAX_HELLO_BYTES)).message
    peer_hello = _validate_hello(first_message, env, target)
    await transport.send(
        codec.Frame(0, codec.FrameKind.EVENT, Proof(_mac(fleet_key, own_hello, peer_hello)))
    )
    proof = (await transport.receive(codec.MAX_HELLO_BYTES)).message
    if not isinstance(proof, Proof):
        raise HandshakeFailed('the second message is no proof')
    if not hmac.compare_digest(proof.mac, _mac(fleet_key, peer_hello, own_hello)):
        raise HandshakeFailed(f'wrong proof from {peer_hello.instance}')
    return peer_hello


def _validate_hello(peer_hello: Message, env: Environment, target: InstanceId) -> Hello:
    """
    The peer's hello, if this instance may talk to it at all.

    """
    if not isinstance(peer_hello, Hello):
        raise HandshakeFailed('the first message is no hello')
    if peer_hello.version != PROTOCOL_VERSION:
        raise HandshakeFailed(f'protocol version {peer_hello.version} is not {PROTOCOL_VERSION}')
    if peer_hello.instance == env.instance:
        # Also what a mirror would send; its proof would be our own.
        raise HandshakeFailed('the peer claims to be this instance')
    if target and peer_hello.instance != target:
        raise HandshakeFailed(f'dialled {target}, got {peer_hello.instance}')
    if peer_hello.target and peer_hello.target != env.instance:
        raise HandshakeFailed(f'the peer wants {peer_hello.target}')
    return peer_hello
