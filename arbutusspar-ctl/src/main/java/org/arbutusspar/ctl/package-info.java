/** The operators' command line: configuration, status, calls and load. */
package org.arbutusspar.ctl;
