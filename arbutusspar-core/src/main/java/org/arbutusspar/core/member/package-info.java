/**
 * Gossip membership of the entry daemon's instances: the status of each instance, the peers to
 * which links are kept open, and the addresses that are returned to callers.
 */
package org.arbutusspar.core.member;
