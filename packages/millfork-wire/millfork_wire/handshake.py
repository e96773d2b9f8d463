"""
Mutual authentication of two peers, before either reads any other message.

Both sides send a hello with a nonce, then a proof: a keyed hash (HMAC) over both
hellos. The key of the hash is derived from the fleet's key and the name of the
proving instance, so a proof is valid for one instance only.

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
    The peer's hello is not acceptable, or its proof is wrong.

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
    Exchange hellos and proofs; return the peer's hello once the peer's proof is verified.

    `target` is the dialled instance, or empty on the accepting side.

    :raises HandshakeFailed: on a wrong message, version, instance, target or proof.

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
        raise HandshakeFailed('the second message is not a proof')
    if not hmac.compare_digest(proof.mac, _mac(fleet_key, peer_hello, own_hello)):
        raise HandshakeFailed(f'the proof of {peer_hello.instance} is wrong')
    return peer_hello


def _validate_hello(peer_hello: Message, env: Environment, target: InstanceId) -> Hello:
    """
    Return the peer's first message, if it is a hello with an acceptable version, instance and
    target.

    :raises HandshakeFailed: if the message is anything else.

    """
    if not isinstance(peer_hello, Hello):
        raise HandshakeFailed('the first message is not a hello')
    if peer_hello.version != PROTOCOL_VERSION:
        raise HandshakeFailed(
            f'the peer has protocol version {peer_hello.version}, not {PROTOCOL_VERSION}'
        )
    if peer_hello.instance == env.instance:
        # Without this check, a peer that sends every message back would also return a valid proof.
        raise HandshakeFailed('the peer claims to be this instance')
    if target and peer_hello.instance != target:
        raise HandshakeFailed(f'dialled {target}, but {peer_hello.instance} answered')
    if peer_hello.target and peer_hello.target != env.instance:
        raise HandshakeFailed(f'the peer dialled {peer_hello.target}')
    return peer_hello
