Feature: A soak draws faults that the system promises to bear

  Scenario: Plans keep to what is to be borne, whatever the seed
    Then no drawn round strikes a majority of the source, loses a disk beside another struck replica, or strikes one process twice

  Scenario: A seed draws the same faults each time, and another seed others
    Then 10 rounds of one seed are drawn alike, and otherwise than those of another

  Scenario: Every fault and every role is drawn in time
    Then 500 rounds strike every role, with every fault that a soak knows

  Scenario: Seeds that failed are kept with their cause
    Given a file of kept seeds with the lines "# a comment" and "koszyk | 7 | a relay did not come back"
    Then the kept seed 7 of koszyk has the cause "a relay did not come back"

  Scenario: A damaged line among the kept seeds is named
    Given a file of kept seeds with the lines "koszyk | 7" and "koszyk | 8 | cause"
    Then reading the kept seeds names the line "koszyk | 7"

  Scenario: The kept seeds of this repository can be read
    Then etc/soak-seeds.txt can be read
