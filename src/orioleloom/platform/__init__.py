"""Adapter to the users' platform.

Translates between the platform's wire formats and the types of
:mod:`orioleloom.node`. Scheduling, state and recovery are implemented there
and in the packages that it uses; no code outside this package depends on the
platform's names.
"""
