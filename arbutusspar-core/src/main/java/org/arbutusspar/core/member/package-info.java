/**
 * Membership of entry instances: who is live, leaving or dead, whom to keep a link to, and which
 * addresses to give to callers.
 */
package org.arbutusspar.core.member;
