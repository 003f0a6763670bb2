Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Two operators race each other
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    When two operators edit the same version through "gent-e1" and "lokeren-e1"
    Then exactly one edit is accepted and the other is refused with "edit_lost_race"
    And every VM has the accepted version

  Scenario: The answer to an append is lost after it took effect
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    When the log loses the answers of its next 1 appends
    And an operator edits the tables through "gent-e1"
    Then the edit is accepted
    And every VM has the accepted version

  Scenario: All VMs are replaced at once
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    When an operator edits the tables through "gent-e1"
    And all VMs are killed and started again
    Then every VM has the accepted version

  Scenario: A VM that starts during an outage of the log learns from peers
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    When the log is down
    And VM "gent-e1" is killed and started again
    Then every VM has the accepted version

  Scenario: Where no VM knows a configuration, requests are refused as not run
    Given a deployment with 1 backend servers and 1 VMs in each failure domain
    When the log is down
    And all VMs are killed and started again
    Then a request through "gent-e1" is "not_run" with "no_configuration"

  Scenario: A malformed record on the log is skipped
    Given a deployment with 1 backend servers and 1 VMs in each failure domain
    When the malformed record "{\"kind\": \"edit\"}" is appended to the log
    And an operator edits the tables through "gent-e1"
    Then the edit is accepted
    And every VM has the accepted version

  Scenario: An edit that names an unknown pool is refused and changes nothing
    Given a deployment with 1 backend servers and 1 VMs in each failure domain
    When an operator adds a route to the unknown pool "nowhere" through "gent-e1"
    Then the edit is refused with "invalid_tables"
    And every VM has the accepted version

  Scenario: The log is unreachable until it has trimmed every record
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    When an operator edits the tables through "gent-e1"
    Then every VM has the accepted version
    When every failure domain is cut off from the platform
    And the log trims all records of "config"
    And VM "gent-e1" is killed and started again
    Then every VM has the accepted version
    When the network recovers
    And an operator edits the tables through "lokeren-e1"
    Then the edit is accepted
    And every VM has the accepted version
