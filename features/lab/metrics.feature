Feature: What the laboratory counts as the cost of distribution

  Scenario Outline: Only links that carry configuration and endpoints cost control bytes
    Given a process that exchanged <in> bytes in and <out> bytes out on links of "<purpose>"
    Then the laboratory counts <control> control bytes and <claims> claim bytes

    Examples:
      | purpose      | in  | out | control | claims |
      | subscription | 100 | 20  | 120     | 0      |
      | registration | 7   | 3   | 10      | 0      |
      | endpoints    | 5   | 5   | 10      | 0      |
      | hello        | 60  | 40  | 100     | 0      |
      | calls        | 100 | 20  | 0       | 0      |
      | keeper       | 100 | 20  | 0       | 120    |
