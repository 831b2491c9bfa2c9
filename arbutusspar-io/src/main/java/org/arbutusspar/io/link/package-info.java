/**
 * Two independent protocols between entry instances, both with length-prefixed MessagePack frames
 * over TCP. {@link Links} exchanges {@link LinkMessage}s, after a mutual handshake that proves
 * knowledge of a shared secret. {@link FrameNetwork} exchanges {@link PeerMessage}s, without such a
 * handshake.
 */
package org.arbutusspar.io.link;
