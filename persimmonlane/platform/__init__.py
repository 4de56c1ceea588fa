"""Platform adapter.

Translates the headers, settings, documents and calls of the users' platform to the
project's own types. It makes no decisions, and no code outside this package uses the
platform's names.
"""
