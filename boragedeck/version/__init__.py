"""State that belongs to one version of the configuration or of a model."""
