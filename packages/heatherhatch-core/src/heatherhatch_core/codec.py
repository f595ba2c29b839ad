"""Encoding of typed messages as JSON, MessagePack and YAML."""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from .exceptions import ErrorKind, HeatherhatchError

Message = TypeVar("Message")


@dataclass(frozen=True, slots=True)
class MediaType:
    """Names of the supported media types."""

    json: str = "application/json"
    problem: str = "application/problem+json"
    msgpack: str = "application/msgpack"


MEDIA = MediaType()


def encode_json(message: object) -> bytes:
    """Return a message encoded as JSON."""
    return msgspec.json.encode(message)


def decode_json(data: bytes, kind: type[Message]) -> Message:
    """Return the message decoded from JSON.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the data is not a valid message.
    """
    return _decode(msgspec.json.decode, data, kind)


def encode_msgpack(message: object) -> bytes:
    """Return a message encoded as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_msgpack(data: bytes, kind: type[Message]) -> Message:
    """Return the message decoded from MessagePack.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the data is not a valid message.
    """
    return _decode(msgspec.msgpack.decode, data, kind)


def to_builtins(message: object) -> object:
    """Return a message as plain lists, dictionaries and scalars, for YAML."""
    return msgspec.to_builtins(message)


def from_builtins(data: object, kind: type[Message]) -> Message:
    """Return the message decoded from plain lists, dictionaries and scalars.

    Raises:
        HeatherhatchError: ``BAD_REQUEST`` if the data is not a valid message.
    """
    return _decode(msgspec.convert, data, kind)


def _decode(decode, data, kind):
    try:
        return decode(data, type=kind)
    except (msgspec.ValidationError, msgspec.DecodeError, RecursionError) as error:
        raise HeatherhatchError(ErrorKind.BAD_REQUEST, str(error)) from error
