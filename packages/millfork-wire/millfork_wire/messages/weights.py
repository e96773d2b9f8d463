"""
Messages that transfer chunks of weights, and the manifests that list the chunks.

"""

from dataclasses import dataclass

from millfork_wire.messages.base import Message


@dataclass(slots=True)
class GetManifest(Message):
    digest: str = ''
    # Whether a receiver without the manifest must fetch it from the origin, not from another
    # instance.
    draw: bool = False


@dataclass(slots=True)
class Manifest(Message):
    found: bool = False
    body: bytes = b''
    whole: bool = False
    reason: str = ''


@dataclass(slots=True)
class GetChunk(Message):
    manifest: str = ''
    index: int = 0
    wait_ms: int = 0
    # Whether a receiver without the chunk must fetch it from the origin, not from another instance.
    draw: bool = False


@dataclass(slots=True)
class Chunk(Message):
    found: bool = False
    data: bytes = b''
    reason: str = ''


@dataclass(slots=True)
class PushChunk(Message):
    manifest: str = ''
    index: int = 0
    data: bytes = b''
