package org.hemlockpick.cell;

/** Ignores the end of the lease and the availability of the table service. */
final class IgnoringJournalListener implements CellJournal.Listener {
  @Override
  public void onDeposed(String reason) {}

  @Override
  public void onStoreAvailability(boolean answers) {}

  @Override
  public void onReleased() {}
}
