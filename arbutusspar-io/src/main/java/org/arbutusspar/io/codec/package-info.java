/** Conversion between the types of the core module and JSON or MessagePack. */
package org.arbutusspar.io.codec;
