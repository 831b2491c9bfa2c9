/**
 * Selection of replicas for the calls of the entry daemon: state of the replicas, cost models,
 * concurrency limits and retry budgets.
 */
package org.arbutusspar.core.balancing;
