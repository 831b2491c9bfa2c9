/**
 * TCP links between entry instances: length-prefixed MessagePack frames, a mutual handshake that
 * proves knowledge of a shared secret, and heartbeats.
 */
package org.arbutusspar.io.link;
