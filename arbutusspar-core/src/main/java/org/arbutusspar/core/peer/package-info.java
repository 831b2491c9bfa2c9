/** What an instance knows of the other instances. */
package org.arbutusspar.core.peer;
