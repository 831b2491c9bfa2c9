package org.arbutusspar.core.member;

/**
 * Status of an instance. Of two records with the same version, the one whose status is declared
 * later supersedes the other.
 */
public enum MemberStatus {
  /** Running and accepting callers. */
  LIVE,
  /** Shutting down: completes its requests, but its address is no longer given to callers. */
  LEAVING,
  /** A peer could not reach it. It becomes dead after a timeout unless it refutes the suspicion. */
  SUSPECT,
  /** Stopped, or suspected for the whole timeout. */
  DEAD
}
