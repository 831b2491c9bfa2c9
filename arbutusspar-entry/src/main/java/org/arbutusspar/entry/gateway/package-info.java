/**
 * The entry instance on the users' platform: connections, timers and the event loop that run the
 * decision logic of the core packages.
 */
package org.arbutusspar.entry.gateway;
