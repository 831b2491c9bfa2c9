/**
 * Work that precedes a request: its pieces, how they depend on each other and how they are batched.
 */
package org.arbutusspar.core.stage;
