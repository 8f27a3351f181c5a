"""Runs a router that relays requests on the users' platform."""

import os
import random
import signal
import socket
import sys
from pathlib import Path
from typing import NoReturn

import eliot
import eventlet
from eventlet.greenio import GreenSocket

from boragedeck.platform.settings import SETTINGS_FILE_VARIABLE, read_settings
from boragedeck.process.exits import exit_unable_to_listen
from boragedeck.process.observing.log_sink import LogSink
from boragedeck.process.observing.logs import set_router_id
from boragedeck.process.relaying.composition import RelayRouter
from boragedeck.process.relaying.settings import RelaySettings
from boragedeck.process.relaying.settings_source import SettingsSource
from boragedeck.process.serving import serve_until, stop_event
from boragedeck.process.timers import RealTimers

__all__ = ["run_on_platform"]


def run_on_platform(settings: RelaySettings, listener: socket.socket) -> NoReturn:
    """Run a router until SIGTERM or SIGINT; exit with 0 after a planned stop.

    Parameters
    ----------
    settings : RelaySettings
        The settings from the platform's file at the start.
    listener : socket
        The socket to which callers already connect.
    """
    sink = LogSink(sys.stdout.fileno())
    eliot.add_global_fields(vm=settings.vm, pid=os.getpid())
    eliot.add_destinations(sink)
    stop = stop_event()
    timers = RealTimers(random.Random())
    path = Path(os.environ[SETTINGS_FILE_VARIABLE])
    source = SettingsSource(settings, lambda: read_settings(os.environ), path, timers)
    signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn_n(source.reload, "SIGHUP"))
    try:
        router = RelayRouter(source, timers, GreenSocket(listener))
    except OSError as exc:
        exit_unable_to_listen(exc)
    router.metrics.dropped_logs.set_function(lambda: sink.dropped)
    set_router_id(router.own.router)
    router.start()
    serve_until(stop, router)
    sink.flush()
    os._exit(0)
