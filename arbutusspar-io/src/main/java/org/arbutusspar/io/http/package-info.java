/** Bounded HTTP calls through Jetty's client. */
package org.arbutusspar.io.http;
