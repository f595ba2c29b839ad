"""Filter that drops new connections to a listening socket that is about to close."""

import contextlib
import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26

# Classic BPF, as in linux/filter.h: code, jump if true, jump if false, operand.
# The program checks the flags of the TCP header and drops packets that have SYN
# without ACK.
LOAD_BYTE, AND, JUMP_EQUAL, RETURN = 0x30, 0x54, 0x15, 0x06
TCP_FLAGS_OFFSET = 13
SYN_AND_ACK = 0x12
SYN = 0x02
ACCEPT_WHOLE_PACKET = 0xFFFFFFFF
PROGRAM = (
    (LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    (AND, 0, 0, SYN_AND_ACK),
    (JUMP_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, 0),
    (RETURN, 0, 0, ACCEPT_WHOLE_PACKET),
)


def drop_new_connections(listening: socket.socket) -> None:
    """Drop the SYN packets of new connections; handshakes in progress complete.

    A client whose SYN is dropped sends it again and is then refused, because the
    socket is closed by then, so that a load balancer uses another target. Without
    the filter, a connection that is still in the accept queue when the socket
    closes would be reset together with its request. On a system that does not
    support the filter, this race remains.
    """
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in PROGRAM)
    buffer = ctypes.create_string_buffer(code)
    pointer = ctypes.addressof(buffer)
    with contextlib.suppress(OSError):
        listening.setsockopt(
            socket.SOL_SOCKET,
            SO_ATTACH_FILTER,
            struct.pack("HP", len(PROGRAM), pointer),
        )
