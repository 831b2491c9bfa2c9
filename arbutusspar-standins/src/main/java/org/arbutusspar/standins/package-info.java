/**
 * Stand-ins for the platform (the configuration log and the list of instances and replicas) and for
 * the upstream replicas, with faults that can be injected over HTTP, and the audit that compares
 * their ledgers with the outcomes that clients recorded. They are used by the demo and the tests
 * and are not part of a release.
 */
package org.arbutusspar.standins;
