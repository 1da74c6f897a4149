"""Decision logic without side effects: functions and state machines with typed results.

Nothing here does I/O or reads a clock: callers pass the current time, and the random number
generator where one is needed.
"""
