"""HTTP/1.1 with callers, upstreams and operators, built on `h11`."""
