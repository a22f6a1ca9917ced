"""Backend servers whose answers are broken off at a chosen byte, and a caller that checks framing."""

import random
import socket
import struct
import threading

SILENCE_LIMIT_S = 15  # A silent server closes its connection after this time at the latest.
MAX_ENDLESS_BYTES = 64 * 1024 * 1024
PARSED_BYTES = 64 * 1024  # Replies up to this size are parsed each time bytes of them arrive.


class ScriptedServer:
    """Accepts connections and passes each request to `answer(server, socket, head, body)`.

    `answer` returns whether the connection may carry another request. If `answers_early(head)` is
    true, it is called before the body is read, and the body is read afterwards.
    """

    def __init__(self, address, answer, answers_early=None):
        host, port = address.rsplit(":", 1)
        self.address = address
        self.answer = answer
        self.answers_early = answers_early or (lambda head: False)
        self.listener = socket.create_server((host, int(port)), backlog=512)
        threading.Thread(target=self.accept_loop, daemon=True).start()

    def accept_loop(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        received = b""
        try:
            while True:
                while b"\r\n\r\n" not in received:
                    data = connection.recv(65536)
                    if not data:
                        return
                    received += data
                raw_head, received = received.split(b"\r\n\r\n", 1)
                head = parse_head(raw_head)
                length = int(head.get("content-length", 0))
                is_early = self.answers_early(head)
                if is_early and not self.answer(self, connection, head, b""):
                    return
                while len(received) < length:
                    data = connection.recv(65536)
                    if not data:
                        return
                    received += data
                body, received = received[:length], received[length:]
                if not is_early and not self.answer(self, connection, head, body):
                    return
        except OSError:
            pass  # The caller closed the connection.
        finally:
            connection.close()

    def stop(self):
        self.listener.shutdown(socket.SHUT_RDWR)  # Ends the accept call of the other thread.
        self.listener.close()


def parse_head(raw_head):
    """Returns the headers by their lower-case names, and the start line as "start"."""
    lines = raw_head.decode("latin-1").split("\r\n")
    head = {"start": lines[0]}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        head[name.lower()] = value.strip()
    return head


def reset(connection):
    """Closes a connection so that its peer gets a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def wait_for_close(connection):
    """Sends nothing until the peer closes the connection."""
    connection.settimeout(SILENCE_LIMIT_S)
    while connection.recv(65536):
        pass


def send_endlessly(connection, filler):
    """Sends `filler` until the peer closes the connection. Returns the number of bytes accepted."""
    connection.settimeout(SILENCE_LIMIT_S)
    block = filler * (16384 // len(filler))
    sent = 0
    try:
        while sent < MAX_ENDLESS_BYTES:
            sent += connection.send(block)
    except OSError:
        pass
    return sent


class Answer:
    """A response of a server as bytes, with the offsets of the places where it may be cut."""

    def __init__(self, headers, pieces, framing, chunk_sizes=()):
        """`pieces` are the events of a stream or the only piece of a whole answer. `chunk_sizes`
        are the numbers of pieces in each chunk of a chunked body."""
        self.framing = framing
        self.body = b"".join(pieces)
        self.cuts = {}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers]
        if framing == "length":
            lines.append(f"Content-Length: {len(self.body)}")
        elif framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
        elif framing == "identity":
            lines.append("Transfer-Encoding: identity")
        self.wire = ("\r\n".join(lines) + "\r\n\r\n").encode()
        self.cuts["nothing"] = 0
        self.cuts["in_head"] = len(self.wire) // 2
        self.cuts["after_head"] = self.head_length = len(self.wire)
        self.piece_ends = []
        if framing == "chunked":
            self.add_chunks(list(pieces), list(chunk_sizes) or [len(pieces)])
        else:
            for piece in pieces:
                self.add_piece(piece)
        self.cuts["complete"] = len(self.wire)

    def add_piece(self, piece):
        number = len(self.piece_ends)
        self.cuts[f"inside_{number}"] = len(self.wire) + len(piece) // 2
        self.cuts[f"before_blank_line_{number}"] = len(self.wire) + len(piece) - 1
        self.wire += piece
        self.piece_ends.append(len(self.wire))
        self.cuts[f"after_{number}"] = len(self.wire)

    def add_chunks(self, pieces, chunk_sizes):
        for chunk, size in enumerate(chunk_sizes):
            group, pieces = pieces[:size], pieces[size:]
            line = b"%x\r\n" % sum(len(piece) for piece in group)
            self.cuts[f"in_size_line_{chunk}"] = len(self.wire) + 1
            self.wire += line
            for piece in group:
                self.add_piece(piece)
            self.wire += b"\r\n"
        self.cuts["after_last_event"] = len(self.wire)
        self.cuts["in_last_chunk"] = len(self.wire) + 3
        self.wire += b"0\r\n\r\n"

    def pieces_before(self, offset):
        return sum(1 for end in self.piece_ends if end <= offset)

    def is_at_piece_end(self, offset):
        return offset == self.head_length or offset in self.piece_ends

    def random_cut(self, generator):
        return generator.randrange(len(self.wire))


def send_cut(connection, wire, generator):
    """Sends bytes in pieces of random sizes, so that any of them may arrive alone."""
    while wire:
        size = generator.randrange(1, len(wire) + 1) if generator.random() < 0.5 else len(wire)
        connection.sendall(wire[:size])
        wire = wire[size:]


class Reply:
    """What a caller received. `complete` is true if the framing shows the whole body."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.extra = 0, {}, b"", False, b""


def call(address, request, timeout):
    """Sends a request on a connection of its own and reads what comes until the framing ends."""
    host, port = address.rsplit(":", 1)
    reply = Reply()
    received = b""
    try:
        with socket.create_connection((host, int(port)), timeout=timeout) as connection:
            connection.sendall(request)
            while not parse_reply(reply, received):
                data = connection.recv(65536)
                if not data:
                    break
                received += data
    except OSError:
        pass
    return reply


def parse_reply(reply, received):
    """Fills `reply` from all bytes received so far; returns whether it is complete."""
    if b"\r\n\r\n" not in received:
        return False
    raw_head, rest = received.split(b"\r\n\r\n", 1)
    reply.headers = parse_head(raw_head)
    reply.status = int(reply.headers["start"].split(" ")[1])
    if "content-length" in reply.headers:
        length = int(reply.headers["content-length"])
        reply.body, reply.extra = rest[:length], rest[length:]
        reply.complete = len(rest) >= length
        return reply.complete
    reply.body = b""
    while b"\r\n" in rest:
        line, rest = rest.split(b"\r\n", 1)
        size = int(line, 16)
        if size == 0:
            reply.complete, reply.extra = rest.startswith(b"\r\n"), rest[2:]
            return reply.complete
        reply.body += rest[:size]
        if len(rest) < size + 2:
            return False
        rest = rest[size + 2:]
    return False


def is_closed(connection):
    """Whether the peer has closed an idle connection."""
    timeout = connection.gettimeout()
    connection.setblocking(False)
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.settimeout(timeout)


def read_reply(connection, received):
    """Reads one reply, which begins with bytes that were received before."""
    reply = Reply()
    received = bytearray(received)
    try:
        while True:
            # Parsing starts over each time, so large replies are parsed at their presumed end only.
            if len(received) < PARSED_BYTES or received.endswith(b"\r\n0\r\n\r\n"):
                if parse_reply(reply, bytes(received)):
                    return reply
            data = connection.recv(65536)
            if not data:
                break
            received += data
    except OSError:
        pass
    parse_reply(reply, bytes(received))
    return reply


def seeded(*parts):
    """A generator of random numbers that depends on nothing but its arguments."""
    return random.Random("/".join(str(part) for part in parts))
