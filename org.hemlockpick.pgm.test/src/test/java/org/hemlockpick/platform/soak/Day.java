package org.hemlockpick.platform.soak;

/** What a run plays. */
enum Day {
  /** Faults of all kinds. */
  MIXED(8, 0),

  /** Tasks that crash their workers while the holder changes. */
  CRASHES(20, 0.2);

  private final int workers;
  private final double deadlyProbability;

  Day(int workers, double deadlyProbability) {
    this.workers = workers;
    this.deadlyProbability = deadlyProbability;
  }

  int workers() {
    return workers;
  }

  /** Returns the probability that a job has a task that crashes each worker which starts it. */
  double deadlyProbability() {
    return deadlyProbability;
  }

  Disturbances disturbances(World world, Platform platform, Fleet fleet, long seed) {
    return switch (this) {
      case MIXED -> new FaultSequence(world, platform, fleet, seed);
      case CRASHES -> new HolderFaults(world, fleet, seed);
    };
  }

  /** Returns the name of the run of a seed. */
  String run(long seed) {
    return this == MIXED ? Long.toString(seed) : "crashes-" + seed;
  }
}
