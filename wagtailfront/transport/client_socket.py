"""Non-blocking client sockets."""

import errno
import socket

__all__ = ["IN_PROGRESS", "new_client_socket", "socket_error"]

# Results of connect_ex() while the connection is being established.
IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK, errno.EALREADY)


def new_client_socket(user_timeout_ms=None, buffer_size=None):
    """Return a non-blocking TCP socket.

    Parameters
    ----------
    user_timeout_ms : int, optional
        TCP_USER_TIMEOUT: milliseconds for which sent bytes may stay
        unacknowledged.
    buffer_size : int, optional
        Bytes that the kernel may buffer in each direction; by default it
        decides.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if user_timeout_ms is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    if buffer_size is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_size)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_size)
    return sock


def socket_error(sock):
    """Return the errno name of a socket's pending error, or 0."""
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return errno.errorcode.get(code, code)
