/** The peers of a gateway instance: their addresses, reported status, liveness and roles. */
package org.arbutusspar.core.peer;
