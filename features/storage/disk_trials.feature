Feature: A data folder keeps what was acknowledged through drawn troubles

  # Guards against what only several troubles together lose, such as a retry after a full disk.
  Scenario: Drawn writes amid full disks, kills and losses of power
    Then drawn writes amid full disks, kills and losses of power lose nothing, for seeds 0 to 199

  # Guards against records that were cut and come back, or stand behind the ones written next.
  Scenario: A truncation on a full disk
    Then a truncation that a full disk refuses is carried out once there is room

  # Guards against a rule for torn tails under which damage passes for one.
  Scenario: Drawn damage
    Then drawn damage to what is proved to have been synced is refused, for seeds 0 to 99

  # Guards against a process that runs out of descriptors while it tries a folder again.
  Scenario: Refused openings
    Then refused openings of a damaged folder leave no descriptor open

  # Guards against a replica that starts empty because its log is gone.
  Scenario: A log that is gone
    Then a log that is missing beside the statement of its length is refused
