"""What lives as long as one version: of the configuration or of a model."""
