/** Errors and logging helpers that are shared by the adapters for HTTP, links and files. */
package org.arbutusspar.io;
