/**
 * Links between entry instances: framed MessagePack over TCP, with a handshake that proves a shared
 * secret, and heartbeats.
 */
package org.arbutusspar.io.link;
