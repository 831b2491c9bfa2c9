/** Checks that the core's packages share. */
package org.arbutusspar.core;
