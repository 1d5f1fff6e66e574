package org.hemlockpick.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how strongly the fillers of an image disturb serving tasks beside them, against fillers of
 * other images: 1 is the usual strength.
 */
final class FillerWeights {
  private static final double RAISE = 1.08;
  private static final double LOWER = 0.98;
  private static final double LEAST = 0.3;
  private static final double MOST = 4;

  private final Map<String, Double> weights = new HashMap<>();

  double weight(String image) {
    return weights.getOrDefault(image, 1.0);
  }

  /** Takes note that a serving task came too near to its target beside fillers of an image. */
  void disturbed(String image) {
    weights.put(image, Math.min(MOST, weight(image) * RAISE));
  }

  /** Takes note that serving tasks stayed well below their targets beside fillers of an image. */
  void tolerated(String image) {
    weights.put(image, Math.max(LEAST, weight(image) * LOWER));
  }

  /** Returns the processor time that a filler counts for beside serving tasks, in millicores. */
  long weigh(Step step) {
    return (long) (step.demand().cpuMillis() * weight(step.image()));
  }
}
