/** The peers of an entry instance: their addresses, reported status, liveness and roles. */
package org.arbutusspar.core.peer;
