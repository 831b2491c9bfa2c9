/**
 * Entry daemon: connects the decision logic of the core to HTTP callers, operators, upstreams,
 * peers and the platform's log and list.
 */
package org.arbutusspar.entry;
