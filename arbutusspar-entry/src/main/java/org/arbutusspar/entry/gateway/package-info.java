/** The entry instance on the users' platform: sockets and timers round the core's decisions. */
package org.arbutusspar.entry.gateway;
