from hypothesis import settings

from boragedeck.patching import patch_all

patch_all()
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
