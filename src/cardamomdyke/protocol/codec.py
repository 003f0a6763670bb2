"""Thrift compact encoding of the messages between VMs."""

from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

Message = TypeVar("Message")
# An element of a list takes one byte in a message and some hundred bytes in memory.
MAX_ELEMENTS = 16_384


class MalformedMessageError(ValueError):
    """The bytes do not encode the expected struct."""


def encode_message(message: Any) -> bytes:
    """Return the compact encoding of a Thrift struct."""
    buffer = TMemoryBuffer()
    message.write(TCompactProtocol(buffer))
    encoded: bytes = buffer.getvalue()
    return encoded


def decode_message(data: bytes, message_type: type[Message]) -> Message:
    """Decode a Thrift struct from its compact encoding.

    Parameters
    ----------
    data : bytes
        The encoded struct.
    message_type : type
        Generated struct class.

    Returns
    -------
    Message
        The decoded struct.

    Raises
    ------
    MalformedMessageError
        When the bytes do not encode the struct.
    """
    message: Any = message_type()
    try:
        protocol = TCompactProtocol(
            TMemoryBuffer(data), container_length_limit=MAX_ELEMENTS
        )
        message.read(protocol)
    except Exception as error:
        # The generated code raises unrelated exceptions on bad input.
        raise MalformedMessageError(str(error)) from error
    decoded: Message = message
    return decoded
