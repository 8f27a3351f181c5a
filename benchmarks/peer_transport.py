"""Compares gRPC with length-framed MessagePack for calls between routers.

Starts an echo server for each transport in its own process on loopback, and prints
latency, throughput and resident memory of both, in one run.
"""

import os
import resource
import subprocess
import sys
import time

CALLS = 2000
CONCURRENCY = 20
PAYLOAD = b"x" * 200


def _serve_grpc():
    from concurrent import futures

    import eventlet
    import grpc

    eventlet.monkey_patch(thread=False)
    handler = grpc.method_handlers_generic_handler(
        "peer",
        {"echo": grpc.unary_unary_rpc_method_handler(lambda body, context: body)},
    )
    server = grpc.server(futures.ThreadPoolExecutor(4))
    server.add_generic_rpc_handlers((handler,))
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    print(port, flush=True)
    sys.stdin.read()
    server.stop(0)


def _serve_frames():
    import eventlet

    eventlet.monkey_patch(thread=False)
    import msgspec
    from eventlet.green import socket

    def handle(sock, _):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = sock.makefile("rb")
        while True:
            head = file.read(4)
            if len(head) < 4:
                return
            body = msgspec.msgpack.decode(file.read(int.from_bytes(head, "big")))
            out = msgspec.msgpack.encode(body)
            sock.sendall(len(out).to_bytes(4, "big") + out)

    listener = eventlet.listen(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    eventlet.spawn(eventlet.serve, listener, handle)
    from eventlet import tpool

    tpool.execute(sys.stdin.read)


def _client_grpc(port):
    import eventlet
    import grpc

    eventlet.monkey_patch(thread=False)
    from eventlet import tpool

    call = grpc.insecure_channel(f"127.0.0.1:{port}").unary_unary("/peer/echo")
    return lambda: tpool.execute(call, PAYLOAD)


def _client_frames(port):
    import eventlet

    eventlet.monkey_patch(thread=False)
    import msgspec
    from eventlet.green import socket

    sock = socket.create_connection(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    waiting = {}

    def read():
        file = sock.makefile("rb")
        while head := file.read(4):
            number, _ = msgspec.msgpack.decode(
                file.read(int.from_bytes(head, "big")), type=tuple[int, bytes]
            )
            waiting.pop(number).send(None)

    eventlet.spawn(read)
    counter = iter(range(10**9))

    def call():
        number = next(counter)
        event = waiting[number] = eventlet.event.Event()
        out = msgspec.msgpack.encode((number, PAYLOAD))
        sock.sendall(len(out).to_bytes(4, "big") + out)
        event.wait()

    return call


def _measure(name, port):
    call = {"grpc": _client_grpc, "frames": _client_frames}[name](port)
    import eventlet

    for _ in range(100):
        call()
    times = []
    for _ in range(CALLS):
        start = time.perf_counter()
        call()
        times.append(time.perf_counter() - start)
    times.sort()
    cpu = time.process_time()
    start = time.perf_counter()
    pool = eventlet.GreenPool(CONCURRENCY)
    for _ in range(CALLS):
        pool.spawn_n(call)
    pool.waitall()
    wall = time.perf_counter() - start
    cpu = time.process_time() - cpu
    rss = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(
        f"{name:7} median {times[CALLS // 2] * 1e3:6.3f} ms"
        f"  p95 {times[CALLS * 95 // 100] * 1e3:6.3f} ms"
        f"  {CALLS / wall:8.0f} calls/s at {CONCURRENCY}"
        f"  {cpu / CALLS * 1e6:6.0f} us of client processor a call"
        f"  {rss:5.1f} MB"
    )


def main():
    """Run both transports and print a line each."""
    if len(sys.argv) > 1:
        role, name = sys.argv[1:3]
        if role == "serve":
            {"grpc": _serve_grpc, "frames": _serve_frames}[name]()
        else:
            _measure(name, int(sys.argv[3]))
            os._exit(0)
        return
    for name in ("grpc", "frames"):
        server = subprocess.Popen(
            [sys.executable, __file__, "serve", name],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        try:
            port = server.stdout.readline().decode().strip()
            subprocess.run(
                [sys.executable, __file__, "measure", name, port], timeout=60
            )
        finally:
            server.kill()
            server.wait()


if __name__ == "__main__":
    main()
