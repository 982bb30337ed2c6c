"""Stand-ins for what surrounds the system: back ends, the platform's machine list, slow links."""
