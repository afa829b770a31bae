class Follower:
    """State that a leader keeps for another instance.

    :param session: number of the current contact; messages of earlier
        sessions are ignored
    """

    def __init__(self, instance_id: str, session: int):
        self.instance_id = instance_id
        self.session = session
        self.last_heard_s = -1e9
        # Sequence number of the newest heartbeat that it has answered.
        self.answered_sequence = 0
        self.is_out_of_contact = True
        self.joined_s = 0.0
        self.is_stopping = False
        self.rank = 0.0
