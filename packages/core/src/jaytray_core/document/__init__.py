"""The document: what operators declare for one environment."""
