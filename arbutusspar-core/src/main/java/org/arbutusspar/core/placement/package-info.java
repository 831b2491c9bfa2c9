/** Which replica of a service gets the next request, and whether a request may be sent again. */
package org.arbutusspar.core.placement;
