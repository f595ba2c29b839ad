"""Keeping new connections away from a listening socket that is about to close."""

import contextlib
import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26

# Classic BPF, as in linux/filter.h: code, jump if true, jump if false, operand.
# It looks at the flags of the TCP header and drops what has SYN without ACK.
LOAD_BYTE, AND, JUMP_EQUAL, RETURN = 0x30, 0x54, 0x15, 0x06
FLAGS_OFFSET = 13
SYN_AND_ACK = 0x12
SYN = 0x02
WHOLE_PACKET = 0xFFFFFFFF
PROGRAM = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (AND, 0, 0, SYN_AND_ACK),
    (JUMP_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, WHOLE_PACKET),
)


def drop_new_connections(listening: socket.socket) -> None:
    """Let handshakes that have begun end, and begin no other one.

    A client whose first packet is dropped sends it again and is then refused,
    so that a balancer takes another target; a connection that the kernel had
    accepted and nobody has taken would be reset with its request. Where the
    system has no such filter, the race remains.
    """
    code = b"".join(struct.pack("HBBI", *step) for step in PROGRAM)
    buffer = ctypes.create_string_buffer(code)
    pointer = ctypes.addressof(buffer)
    with contextlib.suppress(OSError):
        listening.setsockopt(
            socket.SOL_SOCKET,
            SO_ATTACH_FILTER,
            struct.pack("HP", len(PROGRAM), pointer),
        )
