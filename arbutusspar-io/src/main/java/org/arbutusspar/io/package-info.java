/** Errors and helpers that the adapters round the core share. */
package org.arbutusspar.io;
