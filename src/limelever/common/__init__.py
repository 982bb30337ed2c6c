"""Parts that every role shares: errors, log events, settings, the sans-io contract, framing."""
