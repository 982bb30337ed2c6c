"""Where a day's worth was lost: by kind of request and window, and by the step of a call."""
