Feature: Regions bind calls and keep large answers near
  Guards against calls that run in a region where they may not, and against needless bytes between regions.

  Scenario Outline: An agent states its region, or that of its zone
    Then an agent of zone "north-a" with the region "<region>" and the zones "<zones>" registers "<stated>"

    Examples:
      | region | zones                       | stated |
      | north  | -                           | north  |
      | -      | north-a=north south-a=south | north  |
      | -      | south-a=south               | -      |
      | -      | -                           | -      |

  Scenario Outline: An endpoint is in the region that its agent states, or else in that of its zone
    Then an endpoint of zone "<zone>" that states "<stated>" is in region "<region>"

    Examples:
      | zone    | stated | region |
      | south-a | north  | north  |
      | south-a | -      | south  |
      | west-a  | -      | -      |

  Scenario Outline: A call leaves its region by its bytes, only if it gains its target there
    Given a region with 3 endpoints of 9 slots at a load of <near> each, and another at <far>
    Then a <kind> call with <work> ms of work and <target> ms to its target <goes>

    # Downloads: 90 kB, status answers: 1.5 kB. A full endpoint has a load of 9.
    Examples:
      | near | far | kind   | work | target | goes              |
      | 5    | 0   | large  | 260  | 1231   | stays             |
      | 9    | 0   | large  | 260  | 1231   | stays             |
      | 24   | 0   | large  | 260  | 1231   | stays             |
      | 36   | 0   | large  | 260  | 1231   | leaves its region |
      | 36   | 40  | large  | 260  | 1231   | stays             |
      | 5    | 0   | small  | 320  | 1080   | stays             |
      | 9    | 0   | small  | 320  | 1080   | stays             |
      | 13   | 0   | small  | 320  | 1080   | leaves its region |
      | 13   | 12  | small  | 320  | 1080   | leaves its region |
      | 13   | 14  | small  | 320  | 1080   | stays             |
      | 13   | 0   | medium | 420  | 1286   | stays             |
      | 18   | 0   | medium | 420  | 1286   | leaves its region |
      | 40   | 40  | small  | 320  | 1080   | stays             |
      | 5    | 0   | small  | 1200 | 1080   | stays             |

  Scenario: A region that nobody has reported of counts as full, not as loaded as this one
    Given a region with 3 endpoints of 9 slots at a load of 45 each, and another at none
    Then a large call with 260 ms of work and 1231 ms to its target leaves its region

  Scenario: A zone without a free slot is left for another zone of the region first
    Given a full zone, an idle zone of the same region and an idle zone of another region
    Then calls of every size go to the idle zone of the same region

  Scenario Outline: An overloaded zone spills within its region first
    Given a zone at a load of <load> calls, and a zone of its region and one of another that report <others>
    Then a large call with 260 ms of work and 1231 ms to its target goes to the other zone of the region

    # At a load of 30 the answer is expected after 0.9 of the time to the target, but before its end.
    Examples:
      | load | others  |
      | 30   | no load |
      | 45   | no load |
      | 45   | nothing |

  Scenario: All endpoints of the region have been tried
    Given a region with 3 endpoints of 9 slots at a load of 5 each, and another at 5
    Then a large call that has tried all endpoints of its region leaves it

  Scenario Outline: Without several regions the choices are those without any
    Given the endpoints of 6 zones that <regions>
    Then 500 calls are placed as without regions, with the same random draws

    Examples:
      | regions                                 |
      | state no region                         |
      | are all in the region of the proxy      |
      | are partly in its region and else in an unknown one |
      | are in regions, of which the proxy has none |
