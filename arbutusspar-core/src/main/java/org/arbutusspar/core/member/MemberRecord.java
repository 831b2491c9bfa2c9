package org.arbutusspar.core.member;

import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;

/**
 * What is known of one incarnation of an instance, as instances tell each other.
 *
 * @param home the incarnation
 * @param startedAtMillis wall-clock time of its start, milliseconds since the epoch
 * @param callers where it listens for callers
 * @param links where it listens for fellow instances
 * @param dataCentre where it runs
 * @param status its status
 * @param version raised by the incarnation itself to correct what others say of it
 */
public record MemberRecord(
    Home home,
    long startedAtMillis,
    Endpoint callers,
    Endpoint links,
    DataCentre dataCentre,
    MemberStatus status,
    long version) {

  /** Checks the components. */
  public MemberRecord {
    Objects.requireNonNull(home, "home");
    Objects.requireNonNull(callers, "callers");
    Objects.requireNonNull(links, "links");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(status, "status");
  }

  /** Returns the instance, whatever its incarnation. */
  public InstanceId instance() {
    return home.instance();
  }

  /**
   * Returns the record with another status and version.
   *
   * @param newStatus the status, not null
   * @param newVersion the version
   * @return the new record
   */
  public MemberRecord withStatus(MemberStatus newStatus, long newVersion) {
    return new MemberRecord(
        home, startedAtMillis, callers, links, dataCentre, newStatus, newVersion);
  }

  /**
   * Returns whether this record replaces another of the same instance.
   *
   * @param other the other record, not null
   * @return true if this one is of a later incarnation, or says something newer of the same one
   */
  public boolean supersedes(MemberRecord other) {
    if (!home.equals(other.home)) {
      return startedAtMillis != other.startedAtMillis
          ? startedAtMillis > other.startedAtMillis
          : Long.compareUnsigned(home.incarnation(), other.home.incarnation()) > 0;
    }
    if (version != other.version) {
      return version > other.version;
    }
    return status.compareTo(other.status) > 0;
  }

  /** Returns whether the incarnation still serves, as far as is known. */
  public boolean isServing() {
    return status != MemberStatus.DEAD;
  }
}
