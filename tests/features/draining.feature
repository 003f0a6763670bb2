Feature: Leaving machines get no new work and abort no request

  Scenario: A VM shuts down under load
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    And callers send requests and gangs
    When VM "gent-e1" is told to stop
    Then VM "gent-e1" stops with exit code 0
    And no request was aborted
    And the history violates no guarantee

  Scenario: All VMs are replaced one by one under load
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    And callers send requests and gangs
    When every VM is told to stop and started again, one after another
    Then no request was aborted
    And the history violates no guarantee

  Scenario: A backend server is listed as leaving
    Given a deployment with 2 backend servers and 1 VMs in each failure domain
    When backend server "gent-w1" is listed as leaving
    And 8 seconds pass
    And callers send requests and gangs
    And 4 seconds pass
    Then nothing started on backend server "gent-w1" since it was listed
    And the history violates no guarantee
