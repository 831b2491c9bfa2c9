/** The operators' command line: configuration, status, single calls and load tests. */
package org.arbutusspar.ctl;
