"""Platform adapter.

Names, formats and calls of the users' platform; no decisions. Nothing outside this
package knows a name that the platform gave.
"""
