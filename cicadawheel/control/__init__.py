"""Control replicas: the replicated durable state and its clients' interfaces."""
