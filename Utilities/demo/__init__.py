"""Starts a whole set-up on loopback, disturbs it and checks what happened."""
