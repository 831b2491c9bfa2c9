/** Invariant checks and time conversions that all packages of the core use. */
package org.arbutusspar.core;
