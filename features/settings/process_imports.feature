Feature: A role's process imports what it needs, and nothing else

  A node's memory is bounded, and most of it is imported modules.

  Scenario Outline: Modules that a role must not import
    When a process imports what <role> needs to run without an admin listener
    Then the process has imported none of <modules>
    And the process has imported none of the modules that no role needs

    Examples:
      | role   | modules                                                                                                                        |
      | agent  | prometheus_client, loguru, asyncio, multiprocessing, hypercorn, h11, h2, httpcore, wsproto, cryptography, zstandard, limelever.source, limelever.relay, limelever.proxy, limelever.publisher, limelever.keeper, limelever.protocol.operators_pb2 |
      | proxy  | prometheus_client, loguru, asyncio, multiprocessing, hypercorn, h11, h2, httpcore, wsproto, cryptography, zstandard, limelever.source, limelever.relay, limelever.agent, limelever.publisher, limelever.protocol.operators_pb2 |
      | relay  | hypercorn, httpcore, wsproto, zstandard, limelever.source, limelever.proxy, limelever.agent, limelever.keeper, limelever.protocol.operators_pb2 |
      | source | httpcore, zstandard, limelever.relay, limelever.proxy, limelever.agent                                                          |

  Scenario Outline: Modules that a process of the platform must not import
    When a process imports what the platform's <role> needs to run
    Then the process has imported none of <modules>

    Examples:
      | role    | modules                                                           |
      | node    | prometheus_client, loguru, asyncio, multiprocessing, cattrs, hypercorn, h11, h2, httpcore, wsproto, limelever.control, limelever.relay, limelever.source              |
      | control | prometheus_client, loguru, multiprocessing, cattrs, httpcore, limelever.agent, limelever.node, limelever.proxy                  |
