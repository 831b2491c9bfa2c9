package org.arbutusspar.core.placement;

import java.util.Objects;
import java.util.function.LongSupplier;

/** Decides whether a replica of a model engine has room for a request. */
@FunctionalInterface
public interface EngineRoom {

  /** Share of its slots up to which a replica gets requests. */
  double MAX_SLOT_SHARE = 0.9;

  /** Share of its memory up to which requests may fill it; the rest keeps shared prompt parts. */
  double MAX_MEMORY_SHARE = 0.9;

  /**
   * Maximum time in milliseconds that a replica needs for the prompts it has not read. Reading
   * delays the events of its running streams, whose readers notice pauses of this length.
   */
  double MAX_READING_MILLIS = 400;

  /** Room by slots only. */
  EngineRoom SLOTS = (load, tokens, readMillis) -> load.requests() < MAX_SLOT_SHARE * load.slots();

  /**
   * Returns room by slots, memory and reading time. An idle replica has room for any request that
   * fits into its memory, and a replica without unread prompts for one prompt of any length.
   *
   * <p>Load pattern: a burst of large requests. An engine whose memory is full preempts running
   * streams and reads their prompts again, so a request that waits before it is sent costs its
   * client less than one that displaces others.
   *
   * @param memoryTokens supplies the number of tokens that fit into the memory of each replica, 0
   *     if unknown, not null
   * @return the room
   */
  static EngineRoom ofMemory(LongSupplier memoryTokens) {
    Objects.requireNonNull(memoryTokens, "memoryTokens");
    return (load, tokens, readMillis) ->
        SLOTS.admits(load, tokens, readMillis)
            && fitsMemory(load, tokens, memoryTokens.getAsLong())
            && (load.readingMillis() <= 0
                || load.readingMillis() + readMillis <= MAX_READING_MILLIS);
  }

  private static boolean fitsMemory(EngineLoad load, long tokens, long memoryTokens) {
    if (memoryTokens <= 0) {
      return true;
    }
    return load.requests() == 0
        ? tokens <= memoryTokens
        : load.heldTokens() + tokens <= MAX_MEMORY_SHARE * memoryTokens;
  }

  /**
   * Decides whether a replica has room.
   *
   * @param load load of the replica, not null
   * @param tokens number of tokens that the request needs in the replica's memory
   * @param readMillis time that the replica needs to read the request's prompt, in milliseconds
   * @return true if the replica may get the request
   */
  boolean admits(EngineLoad load, long tokens, double readMillis);
}
