package org.arbutusspar.core.peer;

import java.util.Map;

/**
 * What an instance knows of the store, as it tells its peers. Immutable.
 *
 * @param unreachable whether its last call to the store failed
 * @param contactAgeMillis time since the store last answered its reads, in milliseconds; {@link
 *     #NEVER} if it has not answered
 * @param tables versions of its tables
 */
public record StoreView(
    boolean unreachable, long contactAgeMillis, Map<TableName, TableVersion> tables) {

  /** Age of a contact that has not taken place, in milliseconds. */
  public static final long NEVER = Integer.MAX_VALUE;

  /** View of an instance that has not read anything. */
  public static final StoreView NONE = new StoreView(false, NEVER, Map.of());

  /** Copies the map. */
  public StoreView {
    tables = Map.copyOf(tables);
  }

  /**
   * Returns the version of a table.
   *
   * @param table the table, not null
   * @return its version; {@link TableVersion#NONE} if nothing has been read
   */
  public TableVersion version(TableName table) {
    return tables.getOrDefault(table, TableVersion.NONE);
  }
}
