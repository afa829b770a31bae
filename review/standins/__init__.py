"""Stand-ins for the platform's store, its workers and its clients.

They follow the users' pages and use the standard library only, so that they
run without a build.
"""
