/** Choice of replicas: their state, cost models, concurrency limits and budgets. */
package org.arbutusspar.core.balancing;
