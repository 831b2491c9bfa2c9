/**
 * Small stand-ins for the platform and the upstreams, with switches for faults. Used by the demo
 * and the tests, never shipped.
 */
package org.arbutusspar.standins;
