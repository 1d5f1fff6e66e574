package org.hemlockpick.internal.batch;

/** Grants a fixed number of units shared by all customers. */
final class FakeQuota implements TaskQuota {
  private int free;

  FakeQuota(int free) {
    this.free = free;
  }

  void limit(int units) {
    free = units;
  }

  int free() {
    return free;
  }

  @Override
  public boolean tryAcquire(String customer) {
    if (free == 0) {
      return false;
    }
    free--;
    return true;
  }

  @Override
  public void release(String customer) {
    free++;
  }
}
