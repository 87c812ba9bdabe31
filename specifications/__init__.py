"""Small models of the protocols between daemons, searched exhaustively."""
