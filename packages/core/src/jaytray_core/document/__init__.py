"""The document: the configuration that operators declare for one environment."""
