"""The platform's list as this instance knows it."""

from orioleloom.membership._view import MemberView
from orioleloom.membership._view import RankAndCount

__all__ = ['MemberView', 'RankAndCount']
