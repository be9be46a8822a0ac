"""Messages, errors, settings, interfaces and the document, shared by all packages."""
