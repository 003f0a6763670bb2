Feature: No part of a gang runs unless the whole gang runs

  Scenario: The planner dies while a gang runs
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    When a gang of 8 members that runs 15 seconds is running in "order-desk-gent"
    And the planner of failure domain "gent" is killed
    Then the gang finishes with 8 answers
    And the history violates no guarantee

  Scenario: The planner freezes while a gang runs, and goes on after a takeover
    Given a deployment with 2 backend servers and 2 VMs in each failure domain
    When a gang of 8 members that runs 20 seconds is running in "order-desk-gent"
    And the planner of failure domain "gent" is frozen
    And 12 seconds pass
    And the frozen planner resumes
    Then the gang finishes with 8 answers
    And the history violates no guarantee

  Scenario: A backend server dies while a gang runs on it
    Given a deployment with 2 backend servers and 1 VMs in each failure domain
    When a gang of 16 members that runs 30 seconds is running in "order-desk-gent"
    And backend server "gent-w1" is killed
    And 12 seconds pass
    Then no member runs on backend server "gent-w2"
    And the history violates no guarantee

  Scenario: Every start answer is lost
    Given a deployment with 1 backend servers and 1 VMs in each failure domain
    When every backend server loses its next 4 answers
    And a gang of 4 members that runs 1 seconds is submitted to "order-desk-gent"
    And 8 seconds pass
    Then the history violates no guarantee

  Scenario: A queued job survives its planner
    Given a deployment with 1 backend servers and 2 VMs in each failure domain
    When a gang of 8 members that runs 12 seconds is running in "order-desk-gent"
    And a second gang of 8 members that runs 1 seconds is queued
    And the planner of failure domain "gent" is killed
    Then the second gang finishes with 8 answers
    And the history violates no guarantee

  Scenario: A guaranteed gang reclaims accelerators from a borrower
    Given a deployment with guarantees and 2 backend servers in each failure domain
    When a borrower holds all of "order-desk-gent"
    And an urgent gang within the guarantee is submitted to "order-desk-gent"
    Then the urgent gang starts
    And the history violates no guarantee

  Scenario: A guaranteed gang reclaims accelerators while its failure domain returns
    Given a deployment with guarantees and 2 backend servers in each failure domain
    When a borrower holds all of "order-desk-gent"
    And operators take failure domain "gent" out through "lokeren-e1"
    And 6 seconds pass
    And operators bring failure domain "gent" back through "kortrijk-e1"
    And an urgent gang within the guarantee is submitted to "order-desk-gent"
    Then the urgent gang starts
    And the history violates no guarantee
