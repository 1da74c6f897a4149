"""Process of an entry VM on the operators' platform: its composition root and its startup.

Nothing is imported here: signals must be held before the imports of the process, which take long.
"""
