Feature: No task starts in a failure domain that operators have taken out

  Scenario: A failure domain leaves and returns under load
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    And callers send requests and gangs
    When operators take failure domain "gent" out through "lokeren-e1"
    And 8 seconds pass
    And operators bring failure domain "gent" back through "kortrijk-e1"
    Then tasks start in failure domain "gent" again
    And the history violates no guarantee

  Scenario: A failure domain is taken out while it is cut off and its VM frozen
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    And callers send requests and gangs
    When failure domain "gent" is cut off from everything
    And VM "gent-e1" is frozen
    And operators take failure domain "gent" out through "lokeren-e1"
    And 7 seconds pass
    And VM "gent-e1" resumes
    And 3 seconds pass
    Then the history violates no guarantee

  Scenario: A failure domain cut off from the platform only goes on serving
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    When failure domain "gent" is cut off from the platform
    And 6 seconds pass
    Then a request to pool "order-desk-gent" through "gent-e1" is "finished"

  Scenario: A failure domain cut off from everything holds new starts
    Given a deployment with 2 backend servers and 1 VMs in each failure domain
    When failure domain "gent" is cut off from everything
    And 6 seconds pass
    Then a request to pool "order-desk-gent" through "gent-e1" is "not_run" with "isolated"

  Scenario: A failure domain set to serve when isolated goes on serving
    Given a deployment with 2 backend servers and 1 VMs in each failure domain
    When operators tell failure domain "gent" to "serve" when isolated
    And failure domain "gent" is cut off from everything
    And 6 seconds pass
    Then a request to pool "order-desk-gent" through "gent-e1" is "finished"

  Scenario: With the log down, failure domains that reach each other serve
    Given a deployment with 2 backend servers and 1 VMs in each failure domain
    When the log is down
    And 8 seconds pass
    Then a request to pool "order-desk-gent" through "gent-e1" is "finished"

  Scenario: With the log down, an order to take a failure domain out holds
    Given a deployment with 2 backend servers and 1 VMs in each failure domain
    When the log is down
    And 8 seconds pass
    And operators take failure domain "gent" out through "lokeren-e1"
    And 6 seconds pass
    Then a request to pool "order-desk-gent" through "gent-e1" is "not_run" with "failure_domain_out"

  Scenario: All VMs of a failure domain die at once under load
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    And callers send requests and gangs
    When all VMs of failure domain "gent" are killed and started again
    Then tasks start in failure domain "gent" again
    And the history violates no guarantee
