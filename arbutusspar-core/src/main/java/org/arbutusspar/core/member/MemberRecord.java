package org.arbutusspar.core.member;

import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;

/**
 * Membership record of one incarnation of an instance, exchanged between instances by gossip.
 *
 * @param home the incarnation
 * @param startedAtMillis wall-clock start time, in milliseconds since the epoch
 * @param callers endpoint on which it accepts callers
 * @param links endpoint on which it accepts links of its peers
 * @param dataCentre data centre in which it runs
 * @param status status of the incarnation
 * @param version version of the record; only the incarnation itself raises it, to announce a change
 *     of its status or to refute a wrong status that its peers report
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

  /** Returns the name of the instance, without its incarnation. */
  public InstanceId instance() {
    return home.instance();
  }

  /**
   * Returns a copy of the record with another status and version.
   *
   * @param newStatus status of the copy, not null
   * @param newVersion version of the copy
   * @return the new record
   */
  public MemberRecord withStatus(MemberStatus newStatus, long newVersion) {
    return new MemberRecord(
        home, startedAtMillis, callers, links, dataCentre, newStatus, newVersion);
  }

  /**
   * Returns whether this record replaces another record of the same instance.
   *
   * <p>The record of the incarnation that started later wins; at equal start times, the larger
   * incarnation number. Of two records of the same incarnation, the higher version wins, and at
   * equal versions the later constant of {@link MemberStatus}.
   *
   * @param other record of the same instance, not null
   * @return true if this record is the newer one
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

  /** Returns whether the incarnation is not known to be dead. */
  public boolean isServing() {
    return status != MemberStatus.DEAD;
  }
}
