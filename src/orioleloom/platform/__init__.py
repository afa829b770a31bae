"""Adapter to the users' platform: translates its messages and names.

Decisions, state and recovery are in :mod:`orioleloom.node` and the
packages it joins; nothing outside this folder knows the names used here.
"""
