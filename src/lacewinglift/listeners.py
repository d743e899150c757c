"""Closing of listening sockets without resetting connections of callers."""

import ctypes
import socket
import struct

from lacewinglift.logs import log_warning

# Value on Linux; the socket module does not define it.
SO_ATTACH_FILTER = 26
# Instructions of a classic packet filter as (code, jump if true, jump if false,
# operand). Byte 13 of a TCP header holds the flags; the filter drops packets with SYN
# and without ACK, which request a new connection.
_DROP_NEW_CONNECTIONS = (
    (0x30, 0, 0, 13),  # load the byte
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x02),  # SYN alone?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFF),  # accept
)


def drop_new_connections(listener: socket.socket) -> bool:
    """Drop new connection requests; handshakes in progress can still complete.

    Closing a listening socket resets every connection made since the last `accept`,
    and the caller cannot tell whether its request was read. After this call no new
    connection is made; the caller retries a second later, when the socket is closed,
    and is refused.

    Returns
    -------
    dropped : bool
        Whether the filter was installed; False if the system does not support it.
    """
    program = b"".join(
        struct.pack("HBBI", *instruction) for instruction in _DROP_NEW_CONNECTIONS
    )
    instructions = ctypes.create_string_buffer(program, len(program))
    address = ctypes.addressof(instructions)
    option = struct.pack("HP", len(_DROP_NEW_CONNECTIONS), address)
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
    except OSError as error:
        log_warning("listener_filter_unsupported", reason=error)
        return False
    return True
