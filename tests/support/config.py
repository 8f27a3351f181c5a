"""A fake configuration source, whose configuration tests set."""


class FakeConfigSource:
    def __init__(self, cfg):
        self.cfg = cfg
        self.callbacks = []

    def current(self):
        return self.cfg

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def put(self, cfg):
        self.cfg = cfg
        for callback in self.callbacks:
            callback(cfg)
