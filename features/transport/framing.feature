Feature: Properties of frames

  Scenario: Frames survive anything
    Then any message comes back from its frame, however the stream is cut
    And any bytes are read as frames or refused, never a fault
    And any bytes within a frame are a message or a failure, never a fault
    And a reader never keeps more than its limit and one chunk
    And a frame around any message has the bytes that protobuf writes for it
