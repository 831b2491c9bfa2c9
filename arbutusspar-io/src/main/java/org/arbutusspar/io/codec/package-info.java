/** Conversion between the core's types and JSON or MessagePack. */
package org.arbutusspar.io.codec;
