/**
 * Benchmarks of the core: time and memory of the coordinator, traffic of the membership protocol,
 * and a comparison of the scheduling policy with its baselines on virtual time.
 */
package org.arbutusspar.bench;
