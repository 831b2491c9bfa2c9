/**
 * Selection of replicas for calls: state of the replicas, cost models, concurrency limits and retry
 * budgets.
 */
package org.arbutusspar.core.balancing;
