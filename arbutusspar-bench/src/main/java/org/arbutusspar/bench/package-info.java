/** Benchmarks of the core. */
package org.arbutusspar.bench;
