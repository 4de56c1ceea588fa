"""Administration.

The operators' interface to the document.
"""
