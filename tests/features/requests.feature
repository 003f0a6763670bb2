Feature: A request runs at most once and its caller gets its own complete answer

  Scenario: The same key is sent to VMs of two failure domains at once
    Given a deployment with 2 backend servers and 1 VMs in each failure domain
    When the same key is sent 4 times at once through "gent-e1" and "lokeren-e1"
    Then the request ran 1 times
    And the history violates no guarantee

  Scenario: A VM dies between start and answer and the caller sends the key again
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    When a keyed request of 2 seconds is sent through "gent-e1" and the VM is killed
    And the same key is sent again through "lokeren-e1" until it is finished
    Then the request ran 1 times
    And the history violates no guarantee

  Scenario: A backend server freezes around a start
    Given a deployment with 1 backend servers and 1 VMs in each failure domain
    And callers send requests and gangs
    When backend server "gent-w1" is frozen
    And 5 seconds pass
    And backend server "gent-w1" resumes
    And 3 seconds pass
    Then the history violates no guarantee

  Scenario: Open connections go silent while new ones work
    Given a deployment with 2 backend servers and 1 VMs in each failure domain
    And callers send requests and gangs
    When all open connections go silent
    And 8 seconds pass
    Then a request through "gent-e1" is "finished"
    And the history violates no guarantee

  Scenario: Backend servers lose answers after they took effect
    Given a deployment with 1 backend servers and 1 VMs in each failure domain
    And callers send requests and gangs
    When every backend server loses its next 5 answers
    And 5 seconds pass
    Then the history violates no guarantee
