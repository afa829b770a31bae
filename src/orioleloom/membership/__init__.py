"""View that an entry instance has of the platform's member list."""

from orioleloom.membership._view import MemberView
from orioleloom.membership._view import RankAndCount

__all__ = ['MemberView', 'RankAndCount']
