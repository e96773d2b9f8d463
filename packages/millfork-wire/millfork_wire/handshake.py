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
HASH: Final = 'sha256'


class HandshakeFailed(Exception):
    """
    The other side did not prove to be the peer it claims to be.

    """


def _mac(fleet_key: bytes, prover: Hello, verifier: Hello) -> bytes:
    instance_key = hmac.digest(fleet_key, prover.instance.encode(), HASH)
    said = codec.encode(codec.Frame(0, codec.Kind.EVENT, prover))
    heard = codec.encode(codec.Frame(0, codec.Kind.EVENT, verifier))
    return hmac.digest(instance_key, said + heard, HASH)


async def shake_hands(
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
    mine = Hello(
        PROTOCOL_VERSION,
        env.instance,
        env.zone,
        role,
        secrets.token_bytes(NONCE_BYTES),
        target,
    )
    await transport.send(codec.Frame(0, codec.Kind.EVENT, mine))
    first = (await transport.receive(codec.MAX_HELLO_BYTES)).message
    theirs = _checked(first, env, target)
    await transport.send(codec.Frame(0, codec.Kind.EVENT, Proof(_mac(fleet_key, mine, theirs))))
    proof = (await transport.receive(codec.MAX_HELLO_BYTES)).message
    if not isinstance(proof, Proof):
        raise HandshakeFailed('the second message is no proof')
    if not hmac.compare_digest(proof.mac, _mac(fleet_key, theirs, mine)):
        raise HandshakeFailed(f'wrong proof from {theirs.instance}')
    return theirs


def _checked(theirs: Message, env: Environment, target: InstanceId) -> Hello:
    """
    The peer's hello, if this instance may talk to it at all.

    """
    if not isinstance(theirs, Hello):
        raise HandshakeFailed('the first message is no hello')
    if theirs.version != PROTOCOL_VERSION:
        raise HandshakeFailed(f'protocol version {theirs.version} is not {PROTOCOL_VERSION}')
    if theirs.instance == env.instance:
        # Also what a mirror would send; its proof would be our own.
        raise HandshakeFailed('the peer claims to be this instance')
    if target and theirs.instance != target:
        raise HandshakeFailed(f'dialled {target}, got {theirs.instance}')
    if theirs.target and theirs.target != env.instance:
        raise HandshakeFailed(f'the peer wants {theirs.target}')
    return theirs
