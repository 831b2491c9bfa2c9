package org.arbutusspar.core.member;

/** Status of an instance. At equal versions, a later status supersedes an earlier one. */
public enum MemberStatus {
  /** Serving. */
  LIVE,
  /** Shutting down: still serving, not to be given to callers. */
  LEAVING,
  /** Not reached by a fellow; dead soon unless it objects. */
  SUSPECT,
  /** Gone. */
  DEAD
}
