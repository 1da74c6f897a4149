"""Components that own sockets and state, run the decision logic and execute its results."""
