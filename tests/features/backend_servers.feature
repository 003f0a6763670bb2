Feature: A backend server that fails every task is ejected

  Scenario: Short requests avoid a backend server that fails everything
    Given a deployment with 4 backend servers and 1 VMs in each failure domain
    When backend server "gent-w1" fails everything
    And callers send requests and gangs
    Then VM "gent-e1" reports "server.ejected" of "gent-w1"
    And the history violates no guarantee
