/** The entry daemon: serves callers and operators, and runs the core's decisions. */
package org.arbutusspar.entry;
