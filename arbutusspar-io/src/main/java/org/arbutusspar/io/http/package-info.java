/** HTTP servers and clients on top of Jetty, with bounds on sizes, times and connections. */
package org.arbutusspar.io.http;
