/**
 * Decision logic of the entry instances. It performs no I/O, starts no threads and reads no clock.
 * This package itself holds the invariant checks and time conversions.
 *
 * <p>An entry instance runs in one of two modes, each with its own packages. The entry daemon runs
 * pipelines and plain services; it uses {@code config}, {@code request}, {@code flow}, {@code
 * balancing} and {@code member}. The gateway serves HTTP routes on the users' platform; it uses
 * {@code routing}, {@code stage}, {@code placement} and {@code peer}. Stages, services and replicas
 * exist in both modes and have separate types in each.
 */
package org.arbutusspar.core;
